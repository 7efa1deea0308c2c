/** The scheduler over a store whose answers are old when they arrive and come in pages, together with takeovers and crashes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './model-fleet.js';
import {runLateIntakeSeed, runLateSeed} from './run-seed.js';

const seedCount = 30;

describe('hosts whose view of the store is late', () => {
	for (let seed = 1; seed <= seedCount; seed++) {
		it(`run no task twice and lose none, with late and paged reads, takeovers and crashes: seed ${seed}`, () => {
			const {violations, unfinished} = runLateSeed(seed);
			expect({violations, unfinished}).toEqual({violations: [], unfinished: []});
		});
	}
});

describe('hosts that read the jobs late and the ledger in time', () => {
	for (let seed = 1; seed <= seedCount; seed++) {
		it(`acknowledge no end that is not stored, of a job that a new leader has yet to read: seed ${seed}`, () => {
			const {violations, unfinished} = runLateIntakeSeed(seed);
			expect({violations, unfinished}).toEqual({violations: [], unfinished: []});
		});
	}
});

describe('reads of the model', () => {
	it('bring a record late, by at most the age that is set, and in pages', () => {
		const fleet = ModelFleet.create({
			seed: 1, hosts: 2, workers: 2, faults: noFaults, readFaults: {oldestMs: 1500, pageRecords: 2, streams: ['intake', 'ledger']},
		});
		fleet.run(8000);
		for (let number = 1; number <= 6; number++) {
			fleet.submit(createJob(number, [createStep()]));
		}

		const counts = new Set<number>();
		for (let step = 0; step < 2000; step++) {
			fleet.run(5);
			counts.add(fleet.hosts[0]!.state.jobs.size);
		}

		expect([...counts]).toEqual([0, 2, 4, 6]);
	});

	it('load a stream in pages of different moments, and read on from the end at the first', () => {
		const fleet = ModelFleet.create({
			seed: 3, hosts: 2, workers: 2, faults: noFaults,
		});
		fleet.run(3000);
		for (let number = 1; number <= 20; number++) {
			fleet.submit(createJob(number * 2, [createStep({count: 1, estimateMs: 50})]));
		}

		fleet.run(5000);
		fleet.readFaults = {oldestMs: 400, pageRecords: 3, streams: ['intake', 'ledger']};
		fleet.killHost(1, 100);
		fleet.run(1000);
		// Sorts before the page that the load has reached.
		fleet.submit(createJob(1, [createStep()]));
		fleet.run(20_000);
		expect(fleet.hosts[1]!.state.jobs.size).toEqual(21);
	});
});
