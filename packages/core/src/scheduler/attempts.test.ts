/** How often a task may fail is settled when its job is accepted, and lasts beyond its queue. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createConfig, HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {JobDefinition} from './types.js';

/** Runs a job whose queue goes away while each run fails; returns how many runs it was given. */
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

describe('attempts of a job whose queue is gone', () => {
	it('are as many as its queue allowed when it was accepted: neither cut short nor exceeded', () => {
		expect(countRunsWithoutQueue(createJob(1, [createStep({count: 1})], {maxAttempts: 5}), 5)).toEqual(5);
		expect(countRunsWithoutQueue(createJob(1, [createStep({count: 1})], {maxAttempts: 2}), 2)).toEqual(2);
	});

	it('are three for a job that was accepted before they were stored with it', () => {
		expect(countRunsWithoutQueue(createJob(1, [createStep({count: 1})]), 5)).toEqual(3);
	});
});
