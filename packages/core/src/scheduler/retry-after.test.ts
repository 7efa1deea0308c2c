/** Refused callers are told to wait for a time that suits the reason. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {computeOutageRetryS} from './retry-after.js';

describe('the Retry-After during an outage of the store', () => {
	/** Guards against: all callers return each second, to the same outage or all at once to a store that has just recovered. */
	it('is 1 s at first, grows with the outage, is spread, and is 4 s at most', () => {
		const draws = [0, 0.3, 0.6, 0.999, 1];
		const draw = (outageMs: number) => draws.map(jitter => computeOutageRetryS(outageMs, jitter));
		expect([0, 400, 2000].flatMap(outageMs => draw(outageMs)).every(retryS => retryS === 1)).toEqual(true);
		expect([...new Set(draw(5000))]).toEqual([2, 3]);
		for (const outageMs of [8000, 60_000, Number.POSITIVE_INFINITY]) {
			expect([...new Set(draw(outageMs))]).toEqual([2, 3, 4]);
		}
	});
});
