/** TWICE: the clock of each process of a worker begins anew, at any value: a reading that is ahead shows a restart as much as one that is behind. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';

const uptimeMs = 5000;
const nextBornAt = 2;
/** How far the clock of the next process is ahead of that of the former one. */
const aheadMs = 3_000_000;

function createLeader(...ids: string[]): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers(...ids);
	host.tick(uptimeMs);
	return host;
}

function listNextProcess(host: HandDrivenHost): SchedulerEffect[] {
	return host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {bornAt: nextBornAt}), createWorker('w2')], isReloaded: false});
}

describe('a process whose clock is ahead of that of the former one', () => {
	/** Guards against a task that starts elsewhere at the news of a restart, though the next process answered its start. */
	it('keeps the task whose start it has answered', () => {
		const host = createLeader('w1');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(25)]);
		host.now += 5;
		host.dispatch({
			type: 'start/ended', workerId: 'w1', bornAt: 1, task: start!.task, run: 1, outcome: 'started', clockMs: host.now + aheadMs, token: host.token,
		});
		const effects = [...listNextProcess(host)];
		host.now += 5;
		effects.push(...host.answerPoll('w2'), ...host.answerPoll('w1', {
			answerBornAt: nextBornAt, clockMs: host.now + aheadMs, running: [{
				task: start!.task, run: 1, checkpoint: '', percent: 1, reading: 0,
			}],
		}), ...host.tick(50));
		expect(listStarts(effects).map(({worker}) => worker.id)).toEqual([]);
	});
});
