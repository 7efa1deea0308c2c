/** Seeds of the model that once broke a promise, each with its cause; see scheduler.test.ts for the model. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runSeed} from './testing/run-seed.js';

const cases = [
	{seed: 1068, cause: 'a late start reached the next process of its worker, which knew of no stop'},
	{seed: 1195, cause: 'a late start reached the next process of its worker after an answer of another life'},
	{seed: 1398, cause: 'a late start reached the next process of its worker, which knew of no stop'},
	{seed: 2964, cause: 'a start without an answer was started elsewhere while the worker\'s next process could still carry it out'},
	{seed: 10_704, cause: 'the same, with a worker that restarted three times'},
	{seed: 14_201, cause: 'none: three runs of one task failed, so its job may fail'},
];

describe('seeds that failed once', () => {
	for (const {seed, cause} of cases) {
		it(`${seed}: ${cause}`, () => {
			expect(runSeed(seed)).toEqual({violations: [], unfinished: []});
		});
	}
});
