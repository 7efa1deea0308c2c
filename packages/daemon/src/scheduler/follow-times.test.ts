/** The view of an idle stream on a slow store stays within the allowed staleness. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {computeFollowTimes} from './follow-times.js';

/** A store fifty times slower than usual. */
const slowAnswerMs = 200;

describe('the polling times of a stream', () => {
	const cases = (['batched', 'prompt'] as const).flatMap(mode => [1500, 2000, 3000, 5000].map(boundMs => ({mode, boundMs})));
	for (const {mode, boundMs} of cases) {
		/** Guards against hosts that become not ready and tell callers to retry whenever the store is slow and the stream idle. */
		it(`keep the view of an idle stream fresh on a slow store, ${mode}, for a bound of ${boundMs} ms`, () => {
			const {waitMs, pauseMs, maxStalenessMs} = computeFollowTimes(boundMs, mode);
			// Just before a response arrives, the view is as old as the previous request.
			const maxAgeMs = (2 * (waitMs + slowAnswerMs)) + pauseMs;
			expect(maxAgeMs < maxStalenessMs).toEqual(true);
			expect(maxStalenessMs < boundMs).toEqual(true);
		});
	}
});
