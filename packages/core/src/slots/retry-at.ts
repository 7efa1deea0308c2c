/** When a refused caller should retry, with random jitter so that callers don't all retry at once. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

const minRetryDelayMs = 500;
const maxJitterMs = 3000;

/** An instant after the expected wait plus a random jitter of up to `maxJitterMs`. Unit of `waitMs`: milliseconds. */
export function drawRetryAt(state: State, waitMs: number): Instant {
	state.slots.drawCount += 1;
	const generator = xoroshiro128plus(state.settings.seed + state.slots.drawCount);
	generator.unsafeNext();
	const jitterMs = unsafeUniformIntDistribution(0, maxJitterMs, generator);
	return addMilliseconds(state.now, Math.max(minRetryDelayMs, waitMs) + jitterMs);
}
