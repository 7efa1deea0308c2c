/** Not mended, see KNOWN-RED.txt: the clock of each process of a worker begins anew, at any value, so it does not tell when the process was born. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	HandDrivenHost, listLogEvents, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

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

describe('a process whose clock is ahead of that of the former one', () => {
	/** Guards against a loss that is never blamed on the tasks that ran there, as the next process seems to have been born before them. */
	it('does not clear the tasks of the former one of its end', () => {
		const host = createLeader('w1');
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, estimateMs: 9000})])), ...host.tick(25)]);
		host.now += 5;
		host.answerStart(start!);
		host.answerPoll('w1', {
			running: [{
				task: start!.task, run: 1, checkpoint: '', percent: 1, reading: 0,
			}],
		});
		host.tick(100);
		const effects = host.answerPoll('w1', {answerBornAt: nextBornAt, clockMs: host.now + aheadMs});
		expect(listLogEvents(effects).includes('worker-lost')).toEqual(true);
	});
});
