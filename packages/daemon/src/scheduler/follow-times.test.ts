/** An idle stream on a slow store: its followers stay sure of what they know. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {computeFollowTimes} from './follow-times.js';

/** A store fifty times slower than usual. */
const slowAnswerMs = 200;

describe('the times of following a stream', () => {
	for (const boundMs of [1500, 2000, 3000, 5000]) {
		/** Guards against: hosts that turn unready, and ask callers to come back, whenever an idle stream is on a slow store. */
		it(`keep an idle view sure on a slow store, for a bound of ${boundMs} ms`, () => {
			const {waitMs, pauseMs, maxStalenessMs} = computeFollowTimes(boundMs);
			// Just before an answer comes, the view is as old as the question before.
			const oldestMs = (2 * (waitMs + slowAnswerMs)) + pauseMs;
			expect(oldestMs < maxStalenessMs).toEqual(true);
			expect(maxStalenessMs < boundMs).toEqual(true);
		});
	}
});
