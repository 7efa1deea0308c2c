/** The wall clock. The daemon's own code, apart from scheduler/, reads it only here. */
import type {Instant} from '@rhubarblever/core';

/** Returns the current time. */
export function readClock(): Instant {
	return Date.now() as Instant;
}
