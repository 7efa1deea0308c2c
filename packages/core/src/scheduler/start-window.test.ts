/** A leader whose link or processor is full: what it sends stays bounded, and goes on. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';

const windowBytes = 3000;
/** A start of the model's jobs is counted with 501 bytes; the last one may go beyond the window. */
const mostStarts = 6;
const beyondTimeoutMs = 700;

describe('a leader with a full link', () => {
	it('has no more starts without an answer than its window holds, and starts all in the end', () => {
		const fleet = ModelFleet.create({
			seed: 1, hosts: 2, workers: 20, faults: noFaults, startWindowBytes: windowBytes,
		});
		fleet.run(3000);
		for (let number = 1; number <= 5; number++) {
			fleet.submit(createJob(number, [createStep({count: 12})]));
		}

		fleet.run(10_000);
		expect(fleet.violations).toEqual([]);
		expect(fleet.mostOpenStarts).toEqual(mostStarts);
		for (let number = 1; number <= 5; number++) {
			expect(fleet.getPhase(number.toString(16).padStart(16, '0'), 1)).toEqual('completed');
		}
	});

	it('repeats no stop while the one before has no outcome, though answers come after the time-out', () => {
		const fleet = ModelFleet.create({
			seed: 2, hosts: 2, workers: 4, faults: noFaults,
		});
		fleet.run(3000);
		fleet.slowAnswerMs = beyondTimeoutMs;
		fleet.submit(createJob(1, [createStep({count: 6, estimateMs: 3000})]));
		fleet.run(5000);
		expect(fleet.mostOpenStops).toEqual(1);
		fleet.slowAnswerMs = 0;
		fleet.run(20_000);
		expect(fleet.violations).toEqual([]);
		expect(fleet.getPhase('0000000000000001', 1)).toEqual('completed');
	});
});
