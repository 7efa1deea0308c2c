/** The clocks of the scheduler's host, read here and nowhere else. */
import {performance} from 'node:perf_hooks';
import type {Instant} from '@rhubarblever/core';

/** Milliseconds of the monotonic clock. */
export function readSteadyClock(): number {
	return performance.now();
}

/** The time of day; it may jump. */
export function readWallClock(): Instant {
	return Date.now() as Instant;
}
