/** How long refused callers are told to wait. Values are whole seconds, spread at random so that callers do not return all at once. */

const millisecondsPerSecond = 1000;
const maxOutageRetryS = 4;

/**
 * The Retry-After of a refusal while the store does not answer: 1 s at first, then up to half of the outage so far, 4 s at
 * most. Callers who all return after 1 s meet the same outage again, or all at once a store that has just recovered.
 * `jitter`: drawn from 0 to 1.
 */
export function computeOutageRetryS(outageMs: number, jitter: number): number {
	const longestS = Math.min(maxOutageRetryS, Math.max(1, Math.ceil(outageMs / 2 / millisecondsPerSecond)));
	const shortestS = Math.ceil(longestS / 2);
	return shortestS + Math.min(longestS - shortestS, Math.floor(jitter * (longestS - shortestS + 1)));
}

const maxOverloadRetryS = 8;
/** Returning callers are spread over this many seconds. */
const overloadSpreadS = 4;

/** The Retry-After of a job that was refused because of the work ahead of it: there is capacity again in `fromMs`. `jitter`: drawn from 0 to 1. */
export function computeOverloadRetryS(fromMs: number, jitter: number): number {
	const firstS = Math.min(maxOverloadRetryS - overloadSpreadS + 1, Math.max(1, Math.ceil(fromMs / millisecondsPerSecond)));
	return firstS + Math.min(overloadSpreadS - 1, Math.floor(jitter * overloadSpreadS));
}
