/** Bounds the time that an answer waits for the store. */
import {setTimeout as sleep} from 'node:timers/promises';

/** How long an answer waits for the store when what is known here does not suffice. */
export const maxRefreshMs = 1000;

/** Resolves with `promise`, or after `maxMs`. */
export async function waitAtMost(promise: Promise<void>, maxMs: number): Promise<void> {
	const timeout = new AbortController();
	await Promise.race([promise, sleep(maxMs, undefined, {signal: timeout.signal}).catch(() => undefined)]);
	timeout.abort();
}
