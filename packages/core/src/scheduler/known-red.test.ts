/** Seeds of the model that still violate an invariant; KNOWN-RED.txt describes each. Not part of `npm test`; CI runs and prints them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {failingSeeds, runMixedStorm} from './testing/mixed-storm.js';
import {runSeed} from './testing/run-seed.js';

/** Calls of a leader that is gone, which a worker's next process carries out seconds late. */
const seeds: readonly number[] = [1068];

describe('known failures', () => {
	for (const seed of failingSeeds) {
		it(`seed ${seed} of the mixed storm`, () => {
			expect(runMixedStorm(seed).violations).toEqual([]);
		});
	}

	for (const seed of seeds) {
		it(`seed ${seed}`, () => {
			expect(runSeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});
