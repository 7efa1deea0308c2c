/** Tests of burn rates. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {
	computeBudgetLeft, computeBurnRate, findAlarm, type CountedMinute,
} from './rates.js';

const minuteMs = 60_000;
const now = (1000 * minuteMs) as Instant;

function createMinutes(count: number, good: number, bad: number): CountedMinute[] {
	return Array.from({length: count}, (_, index) => ({startsAt: (now - ((count - 1 - index) * minuteMs)) as Instant, good, bad}));
}

describe('burn rates', () => {
	it('are 0 without answers', () => {
		expect(computeBurnRate([], now, 60, 0.99)).toEqual(0);
		expect(findAlarm([], now, 0.99)).toEqual('none');
	});

	it('are 1 when exactly the allowed share is bad', () => {
		expect(computeBurnRate(createMinutes(60, 99, 1), now, 60, 0.99)).toBeCloseTo(1, 1e-9);
		expect(computeBudgetLeft(createMinutes(60, 99, 1), now, 60, 0.99)).toBeCloseTo(0, 1e-9);
	});

	it('raise the fast alarm only while both windows reach its rate', () => {
		const burning = createMinutes(60, 80, 20);
		const recovered = [...createMinutes(60, 80, 20).slice(0, 50), ...createMinutes(10, 100, 0)];
		expect(findAlarm(burning, now, 0.99)).toEqual('fast');
		expect(findAlarm(recovered, now, 0.99)).toEqual('slow');
	});
});
