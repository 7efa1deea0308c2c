/** Seeds of the model that once broke a promise, each with its cause; see scheduler.test.ts for the model. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import {runSeed} from './testing/run-seed.js';

const cases = [
	{seed: 1068, cause: 'a late start reached the next process of its worker, which knew of no stop'},
	{seed: 1195, cause: 'a late start reached the next process of its worker after an answer of another life'},
	{seed: 1398, cause: 'a late start reached the next process of its worker, which knew of no stop'},
	{seed: 2964, cause: 'a start without an answer was started elsewhere while the worker\'s next process could still carry it out'},
	{seed: 10_704, cause: 'the same, with a worker that restarted three times'},
	{seed: 12_114, cause: 'a start was answered by its worker\'s next process, and counted as a run of the process before'},
	{seed: 13_227, cause: 'a job was shown as completed when an earlier change of it was stored'},
	{seed: 16_042, cause: 'as 12114, with a task that was started elsewhere and ended twice'},
	{seed: 16_122, cause: 'as 12114'},
	{seed: 16_416, cause: 'as 12114, with two workers that restarted at once'},
	{seed: 14_201, cause: 'none: three runs of one task failed, so its job may fail'},
];

describe('seeds that failed once', () => {
	for (const {seed, cause} of cases) {
		it(`${seed}: ${cause}`, () => {
			expect(runSeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});

describe('a lead that is given back', () => {
	it('is taken by a host that has not read the latest jobs, without losing their ends', () => {
		for (let seed = 1; seed <= 10; seed++) {
			const fleet = ModelFleet.create({
				seed, hosts: 3, workers: 5, faults: noFaults,
			});
			fleet.followerIntakeIntervalMs = 600;
			fleet.run(3000);
			for (let number = 1; number <= 60; number++) {
				fleet.submit(createJob(number, [createStep({count: 2, estimateMs: 150})]));
				fleet.run(100);
				if (number % 12 === 0) {
					fleet.stopLeader(500);
				}
			}

			fleet.run(20_000);
			expect(fleet.violations).toEqual([]);
			expect(fleet.getPhase('000000000000003c', 1)).toEqual('completed');
		}
	});
});
