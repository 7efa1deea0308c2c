/** Attempt timeouts: an attempt of an idempotent request times out early enough that another attempt can still meet the deadline. */
import {findRunTimes, type RunTimes} from '../slots/run-times.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

const minTimeoutMs = 300;
/** Applies to the 95th percentile of run times, since a single stalled attempt can determine higher percentiles. */
const p95Multiple = 4;
/** A normal attempt is assumed to take at most this multiple of the mean run time. */
const meanMultiple = 1.5;
/** With fewer observed run times the statistics are too unreliable to use. */
const minSamples = 8;
/** The last attempt may run until the deadline. */
const maxAttempts = 3;

/** The instant at which an attempt times out. `attemptCount` includes this attempt. */
export function getGiveUpAt(state: State, request: CallerRequest, attemptCount: number): Instant {
	if (!request.isIdempotent || attemptCount >= maxAttempts) {
		return request.deadline;
	}

	const times = findRunTimes(state.slots, request.service, request.workClass);
	return times && times.sampleCount >= minSamples
		? getGiveUpAtByRunTimes(state, request, times)
		: getDefaultGiveUpAt(state, request);
}

/** Limits an attempt to half of the remaining time if another attempt of normal length fits into the other half; otherwise it may run until the deadline. */
function getGiveUpAtByRunTimes(state: State, request: CallerRequest, {p95Ms, meanMs}: RunTimes): Instant {
	const halfMs = (request.deadline - state.now) / 2;
	if (meanMultiple * meanMs > halfMs) {
		return request.deadline;
	}

	const timeoutMs = Math.max(minTimeoutMs, p95Multiple * p95Ms);
	return addMilliseconds(state.now, Math.min(timeoutMs, halfMs));
}

function getDefaultGiveUpAt(state: State, request: CallerRequest): Instant {
	return request.workClass === 'quick'
		? addMilliseconds(state.now, (request.deadline - state.now) / 2)
		: request.deadline;
}
