/** Seeds of the model that still break a promise: KNOWN-RED.txt tells of each. Not part of `npm test`; CI runs and prints them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runSeed} from './testing/run-seed.js';

const seeds = [12_114, 13_227, 16_042, 16_122, 16_416];

describe('known failures', () => {
	for (const seed of seeds) {
		it(`seed ${seed}: a late start is carried out by its worker's next process`, () => {
			expect(runSeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});
