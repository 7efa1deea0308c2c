/** Long-running tasks that prefer a rack run elsewhere at once when they must move. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';
import type {StepDefinition} from './types.js';

const noticeMs = 6000;
/** A long-running task must run again within this time of the end of its run: 6 s, and the 3 s for which its absence is tolerated. */
const restartLimitMs = 9000;

function listStops(effects: readonly SchedulerEffect[]): Array<EffectOf<'worker/stop'>> {
	return effects.filter(effect => effect.type === 'worker/stop');
}

/** Starts one long-running task at w1, drains w1, and confirms the stop; returns how long after the stop the task starts at w2, which is in another rack. */
function measureRestartMs(step: Partial<StepDefinition>): number {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	const [start] = listStarts([...host.submit(createJob(1, [createStep({
		count: 1, isLongRunning: true, estimateMs: 60_000, ...step,
	})])), ...host.effects]);
	host.answerStart(start!);
	const {task, run} = start!;
	const row = {
		task, run, checkpoint: '', percent: 100, reading: 0,
	};
	host.now++;
	host.answerPoll('w1', {running: [row]});
	// The task has been at work for a while.
	for (let count = 0; count < 400; count++) {
		host.tick(100);
		host.answerPoll('w1', {running: [row]});
	}

	host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: noticeMs}), createWorker('w2', {labels: ['a', 'r2']})], isReloaded: false});
	host.now++;
	host.answerPoll('w2');
	const [stop] = listStops(host.tick(200));
	expect(stop?.task).toEqual(task);
	host.dispatch({
		type: 'stop/ended', workerId: 'w1', bornAt: 1, task, run, outcome: 'stopped', token: host.token,
	});
	host.now++;
	const stoppedAt = host.now;
	host.answerPoll('w1', {
		ended: [{
			number: 1, task, run, how: 'stopped', checkpoint: '',
		}],
	});
	while (host.now < stoppedAt + 40_000) {
		if (listStarts(host.effects).some(({worker}) => worker.id === 'w2')) {
			return host.now - stoppedAt;
		}

		host.tick(100);
		host.answerPoll('w2');
	}

	return Number.POSITIVE_INFINITY;
}

describe('a task that is moved from a worker that is draining', () => {
	/** Control: without a rack it starts at once. */
	it('starts elsewhere in time', () => {
		expect(measureRestartMs({})).toBeLessThan(restartLimitMs);
	});

	/** Guards against a task that is stopped for room in another rack, which placement then refuses because it has waited for its rack only since the stop. */
	it('starts elsewhere in time if its data is in the rack of that worker', () => {
		expect(measureRestartMs({dataRack: 'r1'})).toBeLessThan(restartLimitMs);
	});
});
