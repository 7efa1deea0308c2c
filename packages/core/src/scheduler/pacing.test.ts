/** The pace of fillers decreases fast and increases slowly. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {choosePercent} from './pacing.js';

describe('the pace of fillers', () => {
	it('is zero at once when a target is missed', () => {
		expect(choosePercent(100, 1.01)).toEqual(0);
	});

	it('is halved at a high load and unchanged at a medium one', () => {
		expect(choosePercent(80, 0.9)).toEqual(40);
		expect(choosePercent(80, 0.7)).toEqual(80);
	});

	it('increases in small steps up to 100 percent at a low load', () => {
		expect(choosePercent(0, 0.1)).toEqual(10);
		expect(choosePercent(95, 0.1)).toEqual(100);
	});
});
