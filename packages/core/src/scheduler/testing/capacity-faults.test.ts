/** LIMIT, judged at the model's workers, which shrink and grow, come back as other kinds, and start whatever they are told to. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runCapacitySeed} from './run-seed.js';

const seeds = 24;

describe('workers whose capacity shrinks and grows', () => {
	for (let seed = 1; seed <= seeds; seed++) {
		it(`are never brought over it, and all jobs end: seed ${seed}`, () => {
			expect(runCapacitySeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});
