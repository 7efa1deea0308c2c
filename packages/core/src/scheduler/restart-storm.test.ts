/** TWICE: workers restart again and again under their ids, within a second, beside calls without an answer and calls that are carried out late. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runRestartStorm} from './testing/restart-storm.js';

/** Some lists of runs do not tell the birth of their process. */
const untoldSeeds: readonly number[] = [28, 31, 52, 65];

describe('workers that restart again and again', () => {
	for (const seed of untoldSeeds) {
		it(`run no task twice when lists of runs do not tell a birth: seed ${seed}`, () => {
			expect(runRestartStorm(seed).violations).toEqual([]);
		});
	}
});
