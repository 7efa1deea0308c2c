/** When an attempt is given up: idempotent ones early enough that another attempt can still meet the deadline. */
import {findRunTimes, type RunTimes} from '../slots/run-times.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

const minTimeoutMs = 300;
/** Of the 95th percentile, since a single stalled attempt sets higher ones. */
const p95Multiple = 4;
/** An attempt that goes well takes no more than this multiple of the mean. */
const meanMultiple = 1.5;
/** Fewer run times than this say too little. */
const minSamples = 8;
/** The last attempt has until the deadline. */
const maxAttempts = 3;

/** The instant at which an attempt is given up; `attemptCount` counts this one. */
export function getGiveUpAt(state: State, request: CallerRequest, attemptCount: number): Instant {
	if (!request.isIdempotent || attemptCount >= maxAttempts) {
		return request.deadline;
	}

	const times = findRunTimes(state.slots, request.service, request.workClass);
	return times && times.sampleCount >= minSamples
		? getGiveUpAtByRunTimes(state, request, times)
		: getDefaultGiveUpAt(state, request);
}

/** An attempt gets at most half of the time left, if another of usual length fits into the other half. */
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
