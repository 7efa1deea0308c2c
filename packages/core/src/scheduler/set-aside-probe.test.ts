/** Long-running tasks on a pool whose only workers with room are set aside. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {quarantineMs} from './timing.js';

const setAsideMs = 4 * quarantineMs;

/** Counts the starts of a job on a worker that was set aside when its latest run failed; the worker answers polls and runs nothing. */
function countStarts(isLongRunning: boolean, forMs: number): number {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createConfig());
	host.addWorkers('w1');
	const worker = host.state.workers.get('w1')!;
	const job = createJob(1, [createStep({count: 5, isLongRunning})]);
	worker.failures.push({at: host.now, jobId: job.jobId});
	worker.quarantineCount = 3;
	worker.quarantinedUntil = host.now + setAsideMs;
	const starts = listStarts(host.submit(job));
	for (const end = host.now + forMs; host.now < end;) {
		const running = starts.map(({task, run}) => ({
			task, run, checkpoint: '', percent: 0, reading: 0,
		}));
		starts.push(...listStarts([...host.answerPoll('w1', {running}), ...host.tick(100)]));
	}

	return starts.length;
}

describe('a worker that was set aside several times in a row', () => {
	/** Guards against long-running tasks that wait out a long quarantine while the only worker with room is well again. */
	it('is given one long-running task as a probe after a while without a failure', () => {
		expect(countStarts(true, quarantineMs - 300)).toEqual(0);
		expect(countStarts(true, quarantineMs + 500)).toEqual(1);
	});

	/** Guards against a failing worker that draws short tasks, which would fail as often as they may. */
	it('is given no short task until its quarantine ends', () => {
		expect(countStarts(false, setAsideMs - 300)).toEqual(0);
	});
});
