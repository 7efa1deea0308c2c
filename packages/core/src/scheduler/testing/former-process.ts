/** For tests: a leader whose worker w1 restarts, and what its next process may do with calls that were meant for the former one. */
import {expect} from 'earl';
import type {SchedulerEffect} from '../effects.js';
import type {RunningRow} from '../types.js';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './hand-driven.js';
import {createJob, createStep} from './model-jobs.js';
import {modelSettings} from './model-settings.js';

/** The first process of the worker has run for so long when it ends. */
export const uptimeMs = 15_000;
export const slowClock = 0.98;
export const tickMs = 25;
export const youngClockMs = 100;
export const pollTimeoutMs = 1300;
export const extraPollTimeoutMs = 500;
/** As long as a process that takes over an expiry far ahead on its clock keeps its runs. */
export const longestLeaseMs = modelSettings.maxLeaseMs / slowClock;
export const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
export const earlierJob = createJob(2, [createStep({count: 1, estimateMs: 9000})]);
/** Workers that have room after w1 is cut off. */
export const others = ['w2', 'w3'];
export const cutOff = ['w4', 'w5', 'w6', 'w7', 'w8'];

export type Start = EffectOf<'worker/start'>;

export function createRunning(task: string, run: number): RunningRow {
	return {
		task, run, checkpoint: '', percent: 1, reading: 0,
	};
}

/** A leader with one worker, w1, that has run for long. */
export function createLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	host.tick(uptimeMs);
	return host;
}

export function list(host: HandDrivenHost, workers: ReadonlyArray<ReturnType<typeof createWorker>>): SchedulerEffect[] {
	return host.dispatch({type: 'workers/listed', workers, isReloaded: false});
}

/** The answer of a worker's process that was born at `bornAt`, with its own clock. */
export function answerAs(host: HandDrivenHost, start: Start, bornAt: number, clockMs: number): SchedulerEffect[] {
	host.now += 5;
	return host.dispatch({
		type: 'start/ended', workerId: start.worker.id, bornAt, task: start.task, run: start.run, outcome: 'started', clockMs, token: host.token,
	});
}

/** Submits a job, whose run begins at process 1, and loses a poll that renews its lease. Returns when the loss is noticed. */
export function skipPollOfFirstProcess(host: HandDrivenHost): number {
	const [start] = listStarts([...host.submit(earlierJob), ...host.tick(tickMs)]);
	answerAs(host, start!, 1, host.now);
	// A task that has run for so long is not suspected when its worker restarts.
	let sent: SchedulerEffect[] = [];
	for (let percent = 1; percent < 15; percent++) {
		host.tick(800);
		sent = host.answerPoll('w1', {running: [{...createRunning(start!.task, 1), percent}]});
	}

	expect(sent.some(effect => effect.type === 'worker/poll' && effect.untilMs !== undefined)).toEqual(true);
	host.tick(200);
	host.answerPoll('w1', {outcome: 'unknown', answerBornAt: undefined});
	return host.now;
}

/** A poll shows that the known process, `bornAt`, has been followed by the next one. */
export function answerAsNextProcess(host: HandDrivenHost, bornAt: number): void {
	host.tick(500);
	host.answerPoll('w1', {bornAt, answerBornAt: bornAt + 1, clockMs: youngClockMs});
	expect(host.state.workers.get('w1')!.bornAt).toEqual(bornAt + 1);
}

/** Process `bornAt` answers its first poll, begins all tasks, the latest of which is new, and lists them once. Returns the new task. */
export function startTaskAt(host: HandDrivenHost, bornAt: number): string {
	const answeredAt = host.now;
	const readClock = () => youngClockMs + (host.now - answeredAt);
	const starts = listStarts([...host.answerPoll('w1', {bornAt, clockMs: readClock()}), ...host.tick(tickMs), ...host.submit(job), ...host.tick(tickMs)]);
	for (const start of starts) {
		answerAs(host, start, bornAt, readClock());
	}

	host.now++;
	host.answerPoll('w1', {bornAt, clockMs: readClock(), running: starts.map(({task, run}) => createRunning(task, run))});
	const {task, worker} = starts.at(-1)!;
	expect({worker: worker.id, isOfJob: task.startsWith(job.jobId)}).toEqual({worker: 'w1', isOfJob: true});
	return task;
}

/** From now on w1 is cut off, and other workers have room. Returns when the task starts there. */
export function waitForStartElsewhere(host: HandDrivenHost, bornAt: number, task: string): number {
	list(host, [createWorker('w1', {bornAt}), ...others.map(id => createWorker(id))]);
	const end = host.now + 40_000;
	while (host.now < end) {
		host.now++;
		const effects = [...host.answerPoll('w1', {bornAt, outcome: 'unknown', answerBornAt: undefined}), ...others.flatMap(id => host.answerPoll(id)), ...host.tick(200)];
		if (listStarts(effects).some(start => start.worker.id !== 'w1' && start.task === task)) {
			return host.now;
		}
	}

	throw new Error('the task was not started again');
}
