/** LIMIT: capacity that a late start may still take counts as used, also beside a later run of the same task. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {getFree, getNeed} from './tasks.js';

describe('a start that may still be carried out', () => {
	/** Guards against a worker that is given more than it has room for, because an earlier run of a task that it holds is left out. */
	it('takes its room beside a later run of the same task', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		const [start] = listStarts(host.submit(createJob(1, [createStep({count: 1})])));
		host.answerStart(start!);
		const worker = host.state.workers.get('w1')!;
		const task = worker.tasks.get(start!.task)!;
		const before = getFree(worker);
		worker.lateStarts.push({
			task: task.name, run: task.run - 1, need: getNeed(task), openCalls: 1, forgetAt: host.now + 10_000, stopDueAt: host.now,
		});
		expect(getFree(worker).cpu).toEqual(before.cpu - getNeed(task).cpu);
		worker.lateStarts = [{...worker.lateStarts[0]!, run: task.run}];
		expect(getFree(worker)).toEqual(before);
	});
});
