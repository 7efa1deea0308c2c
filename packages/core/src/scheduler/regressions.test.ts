/** Seeds of the model that once violated an invariant, each with its cause; see scheduler.test.ts for the model. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import {runCapacitySeed, runSeed} from './testing/run-seed.js';

const cases = [
	{seed: 24, cause: 'an acknowledgement of a leader that was gone hid the ends of a worker\'s next incarnation'},
	{seed: 97, cause: 'a start whose stop was confirmed was carried out by the next incarnation of its worker'},
	{seed: 1195, cause: 'a late start reached the next incarnation of its worker after an answer of another incarnation'},
	{seed: 1398, cause: 'a late start reached the next incarnation of its worker, which had no record of the stop'},
	{seed: 2964, cause: 'a task whose start was not answered was started elsewhere while the worker\'s next incarnation could still carry out the first start'},
	{seed: 10_704, cause: 'the same, with a worker that restarted three times'},
	{seed: 12_114, cause: 'a start was answered by its worker\'s next incarnation, but counted as a run of the previous one'},
	{seed: 13_227, cause: 'a job was shown as completed when only an earlier change of it had been stored'},
	{seed: 16_042, cause: 'as 12114, with a task that was also started elsewhere and ended twice'},
	{seed: 16_122, cause: 'as 12114'},
	{seed: 16_416, cause: 'as 12114, with two workers that restarted at once'},
	{seed: 54, cause: 'no fault of the scheduler: the worker refused the poll that acknowledged two ends'},
	{seed: 14_201, cause: 'no fault of the scheduler: three runs of one task failed, so its job may fail'},
];

describe('seeds that once failed', () => {
	for (const {seed, cause} of cases) {
		it(`${seed}: ${cause}`, () => {
			expect(runSeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});

describe('a seed of the changing capacities that once failed', () => {
	/** Guards against a start whose stop was confirmed and that the next incarnation of its worker carries out. */
	it('84', () => {
		expect(runCapacitySeed(84)).toEqual({violations: [], unfinished: []});
	});
});

describe('released leadership', () => {
	it('may pass to a host that has not read the latest jobs, without losing their run ends', () => {
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
