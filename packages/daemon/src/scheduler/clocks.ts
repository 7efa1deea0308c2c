/** The only place where the scheduler host reads its clocks. */
import {performance} from 'node:perf_hooks';
import type {Instant} from '@rhubarblever/core';

/** Milliseconds of the monotonic clock. */
export function readSteadyClock(): number {
	return performance.now();
}

/** Wall-clock time; it may jump forwards or backwards. */
export function readWallClock(): Instant {
	return Date.now() as Instant;
}
