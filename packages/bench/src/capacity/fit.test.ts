/** Tests of the line fit. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {computeFit} from './fit.js';

describe('the line fit', () => {
	it('finds base and slope of points on a line', () => {
		const fit = computeFit([1, 2, 4, 8].map(size => ({size, cost: 3 + (2 * size)})));
		expect(fit.base).toBeCloseTo(3, 1e-9);
		expect(fit.slope).toBeCloseTo(2, 1e-9);
		expect(fit.spread).toBeCloseTo(0, 1e-9);
	});

	it('reports how far points lie from the line', () => {
		expect(computeFit([{size: 1, cost: 1}, {size: 2, cost: 3}, {size: 3, cost: 2}]).spread).toBeGreaterThan(0.2);
	});
});
