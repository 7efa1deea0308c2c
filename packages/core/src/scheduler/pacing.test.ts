/** Fillers give way fast and come back slowly. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {choosePercent} from './pacing.js';

describe('the pace of fillers', () => {
	it('stops them at once when a target is missed', () => {
		expect(choosePercent(100, 1.01)).toEqual(0);
	});

	it('halves them under pressure, and keeps them between', () => {
		expect(choosePercent(80, 0.9)).toEqual(40);
		expect(choosePercent(80, 0.7)).toEqual(80);
	});

	it('speeds them up in small steps, to the full at most', () => {
		expect(choosePercent(0, 0.1)).toEqual(10);
		expect(choosePercent(95, 0.1)).toEqual(100);
	});
});
