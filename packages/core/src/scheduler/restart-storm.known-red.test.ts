/** TWICE: workers restart again and again under their ids, within a second, beside calls without an answer and calls that are carried out late. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {runRestartStorm} from './testing/restart-storm.js';

/** Starts are carried out seconds late, by a process after the one that has confirmed their stop. */
const lateSeeds: readonly number[] = [2015, 3019, 3119, 3505];

describe('workers that restart again and again', () => {
	for (const seed of lateSeeds) {
		it(`run no task twice when starts are carried out late: seed ${seed}`, () => {
			expect(runRestartStorm(seed, {untoldBirthPercent: 0}).violations).toEqual([]);
		});
	}
});
