/** Seeds of the model that still violate an invariant; KNOWN-RED.txt describes each. Not part of `npm test`; CI runs and prints them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runCapacitySeed, runSeed} from './testing/run-seed.js';

/** Calls that a worker's next process carries out seconds late: of a leader that is gone, or right after the process was born. */
const seeds: readonly number[] = [24, 54, 97];
const capacitySeeds: readonly number[] = [84];

describe('known failures', () => {
	for (const seed of seeds) {
		it(`seed ${seed}`, () => {
			expect(runSeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}

	for (const seed of capacitySeeds) {
		it(`seed ${seed} of the changing capacities`, () => {
			expect(runCapacitySeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});
