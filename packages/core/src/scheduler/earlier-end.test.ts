/** TWICE: a run that its leader had given up ends as done, and its task starts again. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createWorker, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';

const uptimeMs = 5000;
const tickMs = 25;
const settleMs = 20_000;

describe('the end as done of a run that was given up', () => {
	/** Guards against a task that starts again after such an end was acknowledged: a call that was carried out late had begun the run. */
	it('ends its task', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		host.tick(uptimeMs);
		const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1})])), ...host.tick(tickMs)]);
		// The list that shows the run gone frees its task, which has no worker to start on.
		host.answerStart(start!);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: 60_000})], isReloaded: false});
		host.now += 2;
		host.answerPoll('w1');
		expect(host.state.workers.get('w1')!.tasks.size).toEqual(0);
		host.now++;
		host.answerPoll('w1', {
			ended: [{
				number: 1, task: start!.task, run: start!.run, how: 'done', checkpoint: '',
			}],
		});
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: 60_000}), createWorker('w2')], isReloaded: false});
		host.now++;
		host.answerPoll('w2');
		expect(listStarts(host.tick(settleMs))).toEqual([]);
	});
});
