/** TWICE: places that forget that calls meant for a worker's former process may have given the present one the longest lease. KNOWN-RED.txt describes each. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {modelSettings} from './testing/model-settings.js';
import type {SchedulerEffect} from './effects.js';
import type {RunningRow} from './types.js';

/** The first process of the worker has run for so long when it ends. */
const uptimeMs = 15_000;
const slowClock = 0.98;
const tickMs = 25;
const youngClockMs = 100;
const pollTimeoutMs = 1300;
const extraPollTimeoutMs = 500;
/** As long as a process that takes over an expiry far ahead on its clock keeps its runs. */
const longestLeaseMs = modelSettings.maxLeaseMs / slowClock;
const job = createJob(1, [createStep({count: 1, estimateMs: 9000})]);
const earlierJob = createJob(2, [createStep({count: 1, estimateMs: 9000})]);
/** Workers that have room after w1 is cut off. */
const others = ['w2', 'w3'];
const cutOff = ['w4', 'w5', 'w6', 'w7', 'w8'];

type Start = EffectOf<'worker/start'>;

function createRunning(task: string, run: number): RunningRow {
	return {
		task, run, checkpoint: '', percent: 1, reading: 0,
	};
}

/** A leader with one worker, w1, that has run for long. */
function createLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	host.tick(uptimeMs);
	return host;
}

function list(host: HandDrivenHost, workers: ReadonlyArray<ReturnType<typeof createWorker>>): SchedulerEffect[] {
	return host.dispatch({type: 'workers/listed', workers, isReloaded: false});
}

/** The answer of a worker's process that was born at `bornAt`, with its own clock. */
function answerAs(host: HandDrivenHost, start: Start, bornAt: number, clockMs: number): SchedulerEffect[] {
	host.now += 5;
	return host.dispatch({
		type: 'start/ended', workerId: start.worker.id, bornAt, task: start.task, run: start.run, outcome: 'started', clockMs, token: host.token,
	});
}

/** Submits a job, whose run begins at process 1, and loses a poll that renews its lease. Returns when the loss is noticed. */
function losePollOfFirstProcess(host: HandDrivenHost): number {
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
function showNextProcess(host: HandDrivenHost, bornAt: number): void {
	host.tick(500);
	host.answerPoll('w1', {bornAt, answerBornAt: bornAt + 1, clockMs: youngClockMs});
	expect(host.state.workers.get('w1')!.bornAt).toEqual(bornAt + 1);
}

/** Process `bornAt` answers its first poll, begins all tasks, the latest of which is new, and lists them once. Returns the new task. */
function runAt(host: HandDrivenHost, bornAt: number): string {
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
function waitForStartElsewhere(host: HandDrivenHost, bornAt: number, task: string): number {
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

describe('a process that may hold a lease meant for a former one', () => {
	/** Guards against two runs after two restarts in a row: the second one makes the leader forget the calls meant for the first process. */
	it('keeps its run for the longest lease if its worker has restarted twice', () => {
		const host = createLeader();
		const lostAt = losePollOfFirstProcess(host);
		showNextProcess(host, 1);
		list(host, [createWorker('w1', {bornAt: 3})]);
		host.tick(100);
		// The lost poll reaches process 3 just before the first call that was meant for it.
		const carriedOutAt = host.now;
		expect(carriedOutAt - lostAt).toBeLessThan(2000);
		const task = runAt(host, 3);
		expect(waitForStartElsewhere(host, 3, task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs after a worker has been missing from the registry: with it the leader forgets the calls meant for its former process. */
	it('keeps its run for the longest lease if its worker was not listed for a while', () => {
		const host = createLeader();
		const lostAt = losePollOfFirstProcess(host);
		showNextProcess(host, 1);
		list(host, []);
		host.answerPoll('w1', {bornAt: 2, outcome: 'unknown', answerBornAt: undefined});
		host.tick(100);
		list(host, [createWorker('w1', {bornAt: 2})]);
		host.tick(100);
		const carriedOutAt = host.now;
		expect(carriedOutAt - lostAt).toBeLessThan(2000);
		const task = runAt(host, 2);
		expect(waitForStartElsewhere(host, 2, task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs of a task that a new leader itself starts: calls of its predecessor have given the young process the longest lease. */
	it('keeps the run that a new leader begins there for the longest lease', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership([{offset: 0, record: {type: 'lease', lease: {holder: 'former', token: 1, isReleased: false}}}]);
		list(host, [createWorker('w1', {bornAt: 2})]);
		host.tick(100);
		const carriedOutAt = host.now;
		const task = runAt(host, 2);
		expect(waitForStartElsewhere(host, 2, task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs if a poll that renews leases is lost after an answer has shown a new process: the longest lease counts from that answer on. */
	it('keeps its run for the longest lease from the end of a poll that was on its way when it answered a start', () => {
		const host = createLeader();
		const [first] = listStarts([...host.submit(earlierJob), ...host.tick(tickMs)]);
		answerAs(host, first!, 1, host.now);
		host.now++;
		const sent = host.answerPoll('w1', {running: [createRunning(first!.task, 1)]});
		expect(sent.some(effect => effect.type === 'worker/poll' && effect.untilMs !== undefined)).toEqual(true);
		const sentAt = host.now;
		const [start] = listStarts([...host.submit(job), ...host.tick(tickMs)]);
		// So many workers are cut off that the tasks are not suspected.
		list(host, ['w1', ...cutOff].map(id => createWorker(id)));
		for (const id of cutOff) {
			host.answerPoll(id);
			host.answerPoll(id, {outcome: 'unknown', answerBornAt: undefined});
		}

		// Process 2 has begun the run; from here on no answer of it arrives.
		answerAs(host, start!, 1, youngClockMs);
		host.tick(extraPollTimeoutMs);
		host.answerPoll('w1', {outcome: 'unknown', answerBornAt: undefined, isExtra: true});
		// Process 2 carries the poll out at the end of its time.
		host.tick(sentAt + pollTimeoutMs - tickMs - host.now);
		const carriedOutAt = host.now;
		host.tick(tickMs);
		host.answerPoll('w1', {outcome: 'unknown', answerBornAt: undefined, sentAt});
		expect(waitForStartElsewhere(host, 1, start!.task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});

	/** Guards against two runs if a start is carried out seconds late: its run may go on for the longest lease after that. */
	it('keeps a run that a late start has begun for the longest lease', () => {
		const host = createLeader();
		const [start] = listStarts([...host.submit(job), ...host.tick(tickMs)]);
		host.tick(400);
		host.answerStart(start!, 'unknown');
		showNextProcess(host, 1);
		const sentAgoMs = 6000;
		const carriedOutAt = host.now + sentAgoMs;
		expect(waitForStartElsewhere(host, 2, start!.task) - carriedOutAt).toBeGreaterThanOrEqual(longestLeaseMs);
	});
});
