/** The limit of failed attempts is stored when a job is accepted, and still applies after its queue has been removed. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {JobDefinition} from './types.js';

/** Submits a job whose queue is then removed, lets every run fail, and returns the number of runs. */
function countRunsWithoutQueue(job: JobDefinition, maxAttempts: number): number {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createConfig({maxAttempts}));
	host.addWorkers('w1');
	host.dispatch({type: 'config/read', config: {...createConfig({}, 2), queues: []}});
	let runs = 0;
	let starts = listStarts(host.submit(job));
	while (host.now < 20_000) {
		for (const start of starts) {
			runs++;
			host.answerStart(start);
			host.now++;
			host.answerPoll('w1', {
				ended: [{
					number: runs, task: start.task, run: start.run, how: 'failed', checkpoint: '',
				}],
			});
		}

		starts = listStarts(host.tick());
	}

	return runs;
}

describe('attempts of a job whose queue was removed', () => {
	it('are exactly as many as its queue allowed when the job was accepted', () => {
		expect(countRunsWithoutQueue(createJob(1, [createStep({count: 1})], {maxAttempts: 5}), 5)).toEqual(5);
		expect(countRunsWithoutQueue(createJob(1, [createStep({count: 1})], {maxAttempts: 2}), 2)).toEqual(2);
	});

	it('default to three for a job from before the limit was stored with jobs', () => {
		expect(countRunsWithoutQueue(createJob(1, [createStep({count: 1})]), 5)).toEqual(3);
	});
});
