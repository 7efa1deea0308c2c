/** Waves over the fake platform finish within the budget and move no host, with and without a failing rack. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countJobs, firmShapes} from './shapes.js';
import {WaveTrial} from './trial.js';

describe('a wave over 35 workers', () => {
	for (const firm of firmShapes) {
		for (const hasFailure of [false, true]) {
			it(`of ${firm.name} ends within budget ${hasFailure ? 'though a rack fails' : 'without failures'}`, () => {
				const result = WaveTrial.create({
					firm, policy: 'fill-budget', seed: 11, hasFailure, load: {jobCount: countJobs(firm, false), resumableShare: 0.3},
				}).run();
				expect(result.isDone).toEqual(true);
				expect(result.violations).toEqual(0);
				expect(result.moves).toEqual(0);
			});
		}
	}
});
