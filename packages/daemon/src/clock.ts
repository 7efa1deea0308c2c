/** The wall clock, read here and nowhere else in the daemon. */
import type {Instant} from '@rhubarblever/core';

/** The present instant. */
export function readClock(): Instant {
	return Date.now() as Instant;
}
