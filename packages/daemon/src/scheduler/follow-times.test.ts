/** The view of an idle stream on a slow store stays within the allowed staleness. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {computeFollowTimes} from './follow-times.js';

/** A store fifty times slower than usual. */
const slowAnswerMs = 200;

describe('the polling times of a stream', () => {
	for (const boundMs of [1500, 2000, 3000, 5000]) {
		/** Guards against hosts that become not ready and tell callers to retry whenever the store is slow and the stream idle. */
		it(`keep the view of an idle stream fresh on a slow store, for a bound of ${boundMs} ms`, () => {
			const {waitMs, pauseMs, maxStalenessMs} = computeFollowTimes(boundMs);
			// Just before a response arrives, the view is as old as the previous request.
			const maxAgeMs = (2 * (waitMs + slowAnswerMs)) + pauseMs;
			expect(maxAgeMs < maxStalenessMs).toEqual(true);
			expect(maxStalenessMs < boundMs).toEqual(true);
		});
	}
});
