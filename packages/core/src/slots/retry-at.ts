/** When a refused caller should come back: spread, so that callers don't return together. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

const minRetryDelayMs = 500;
const maxJitterMs = 3000;

/** An instant after the expected wait, spread over a few seconds more. Unit of `waitMs`: milliseconds. */
export function drawRetryAt(state: State, waitMs: number): Instant {
	state.slots.drawCount += 1;
	const generator = xoroshiro128plus(state.settings.seed + state.slots.drawCount);
	generator.unsafeNext();
	const jitterMs = unsafeUniformIntDistribution(0, maxJitterMs, generator);
	return addMilliseconds(state.now, Math.max(minRetryDelayMs, waitMs) + jitterMs);
}
