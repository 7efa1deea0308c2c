/** The scheduler on a store whose reads are stale when they arrive and come in pages, together with takeovers and crashes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './model-fleet.js';
import {runStaleIntakeSeed, runStaleReadsSeed} from './run-seed.js';

const seedCount = 30;

describe('hosts with stale reads of the store', () => {
	for (let seed = 1; seed <= seedCount; seed++) {
		it(`run no task twice and lose none, with stale and paged reads, takeovers and crashes: seed ${seed}`, () => {
			const {violations, unfinished} = runStaleReadsSeed(seed);
			expect({violations, unfinished}).toEqual({violations: [], unfinished: []});
		});
	}
});

describe('hosts with stale reads of the jobs and current reads of the ledger', () => {
	for (let seed = 1; seed <= seedCount; seed++) {
		it(`acknowledge no run end before it is stored, even of a job that a new leader has not read yet: seed ${seed}`, () => {
			const {violations, unfinished} = runStaleIntakeSeed(seed);
			expect({violations, unfinished}).toEqual({violations: [], unfinished: []});
		});
	}
});

describe('reads of the model', () => {
	it('deliver records in pages and at most as stale as configured', () => {
		const fleet = ModelFleet.create({
			seed: 1, hosts: 2, workers: 2, faults: noFaults, readFaults: {maxStalenessMs: 1500, pageRecords: 2, streams: ['intake', 'ledger']},
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

	it('load a stream in pages as of different times, and continue from the end that the stream had at the first page', () => {
		const fleet = ModelFleet.create({
			seed: 3, hosts: 2, workers: 2, faults: noFaults,
		});
		fleet.run(3000);
		for (let number = 1; number <= 20; number++) {
			fleet.submit(createJob(number * 2, [createStep({count: 1, estimateMs: 50})]));
		}

		fleet.run(5000);
		fleet.readFaults = {maxStalenessMs: 400, pageRecords: 3, streams: ['intake', 'ledger']};
		fleet.killHost(1, 100);
		fleet.run(1000);
		// Its key sorts before the page that the load has reached.
		fleet.submit(createJob(1, [createStep()]));
		fleet.run(20_000);
		expect(fleet.hosts[1]!.state.jobs.size).toEqual(21);
	});
});
