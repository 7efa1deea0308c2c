/** TWICE: workers restart again and again under their ids, within a second, beside calls without an answer and calls that are carried out late. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runRestartStorm} from './testing/restart-storm.js';

/** Some lists of runs do not tell the birth of their process. */
const untoldSeeds: readonly number[] = [28, 31, 52, 65];
/** Starts are carried out seconds late, by a process after the one that has confirmed their stop. */
const lateSeeds: readonly number[] = [2015, 3019, 3119, 3505];
/** Any of the faults. */
const firstSeed = 1;
const seeds = 40;

describe('workers that restart again and again', () => {
	for (const seed of untoldSeeds) {
		it(`run no task twice when lists of runs do not tell a birth: seed ${seed}`, () => {
			expect(runRestartStorm(seed).violations).toEqual([]);
		});
	}

	for (const seed of lateSeeds) {
		it(`run no task twice when starts are carried out late: seed ${seed}`, () => {
			expect(runRestartStorm(seed, {untoldBirthPercent: 0}).violations).toEqual([]);
		});
	}

	it('run no task twice, and all tasks end', () => {
		for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
			const {violations, unfinished} = runRestartStorm(seed);
			expect({seed, violations, unfinished}).toEqual({seed, violations: [], unfinished: []});
		}
	});
});
