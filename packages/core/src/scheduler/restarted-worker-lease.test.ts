/** TWICE: a lease that was requested by the clock of a worker's former incarnation lasts as long as its next one accepts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {modelSettings} from './testing/model-settings.js';
import type {StartOutcome} from './events.js';

/** The worker has run for so long when its process is replaced. */
const uptimeMs = 15_000;
/** The clock of the new process when it carries out the start. */
const youngClockMs = 100;
const tickMs = 25;
const answerMs = 5;
const silentPollMs = 500;

type Start = EffectOf<'worker/start'>;

/** A leader that has sent a start to one of two workers that have long been idle. */
function sendStart(): {host: HandDrivenHost; start: Start} {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1', 'w2');
	host.tick(uptimeMs);
	const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)]);
	return {host, start: start!};
}

function answerStart(host: HandDrivenHost, start: Start, outcome: StartOutcome, clockMs: number | undefined): void {
	host.now += answerMs;
	host.dispatch({
		type: 'start/ended', workerId: start.worker.id, bornAt: start.worker.bornAt, task: start.task, run: start.run, outcome, clockMs, token: host.token,
	});
}

/** From now on no poll of the worker is answered. Returns how long after that the task is started again. */
function measureRestart(host: HandDrivenHost, workerId: string): number {
	const cutAt = host.now;
	while (host.now < cutAt + 30_000) {
		const effects = [...host.answerPoll(workerId, {outcome: 'unknown', answerBornAt: undefined}), ...host.tick(silentPollMs)];
		if (listStarts(effects).length > 0) {
			return host.now - cutAt;
		}
	}

	throw new Error('the task was not started again');
}

describe('a worker that has restarted under its id and is cut off', () => {
	/** Guards against a task that runs on two workers at once: the restarted one holds its lease for as long as workers accept. */
	it('keeps its run for the longest lease if the clock in the answer to the start is that of a new process', () => {
		const {host, start} = sendStart();
		answerStart(host, start, 'started', youngClockMs);
		expect(measureRestart(host, start.worker.id)).toBeGreaterThanOrEqual(modelSettings.maxLeaseMs);
	});

	/** Guards against the same if nothing has shown which process carried the start out. */
	it('keeps its run for the longest lease if the start was not answered', () => {
		const {host, start} = sendStart();
		answerStart(host, start, 'unknown', undefined);
		expect(measureRestart(host, start.worker.id)).toBeGreaterThanOrEqual(modelSettings.maxLeaseMs);
	});

	/** Guards against a wait for the longest lease after each loss of a worker. */
	it('loses its run with the lease that was requested if its known process has carried out the start', () => {
		const {host, start} = sendStart();
		answerStart(host, start, 'started', host.now);
		expect(measureRestart(host, start.worker.id)).toBeLessThanOrEqual(5000);
	});

	/** Guards against runs of the former process that wait with those of the new one. */
	it('loses the runs of its known process first', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		host.now++;
		host.answerPoll('w1');
		host.tick(uptimeMs);
		const first = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)])[0]!;
		answerStart(host, first, 'started', host.now);
		const second = listStarts([...host.submit(createJob(2, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(tickMs)])[0]!;
		answerStart(host, second, 'unknown', undefined);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1'), createWorker('w2')], isReloaded: false});
		host.answerPoll('w2');
		expect(measureRestart(host, 'w1')).toBeLessThanOrEqual(5000);
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([second.task]);
	});
});
