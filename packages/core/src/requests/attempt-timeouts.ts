/** When an attempt is given up: idempotent ones early enough that another attempt can still meet the deadline. */
import {findRunTimes} from '../slots/run-times.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';

const leastTimeoutMs = 300;
const p99Multiple = 4;
const retryRoomMultiple = 1.5;
/** Fewer run times than this say too little. */
const leastSamples = 8;
/** The last attempt has until the deadline. */
const mostAttempts = 3;

/** The instant at which an attempt is given up; `attemptCount` counts this one. */
export function getGiveUpAt(state: State, request: CallerRequest, attemptCount: number): Instant {
	if (!request.isIdempotent || attemptCount >= mostAttempts) {
		return request.deadline;
	}

	const times = findRunTimes(state.slots, request.service, request.workClass);
	return times && times.sampleCount >= leastSamples
		? getKnownGiveUpAt(state, request, times.p99Ms)
		: getUnknownGiveUpAt(state, request);
}

function getKnownGiveUpAt(state: State, request: CallerRequest, p99Ms: number): Instant {
	const timeoutMs = Math.max(leastTimeoutMs, p99Multiple * p99Ms);
	const roomMs = retryRoomMultiple * p99Ms;
	const latest = addMilliseconds(request.deadline, -roomMs);
	const earliest = addMilliseconds(state.now, roomMs);
	const giveUpAt = Math.min(addMilliseconds(state.now, timeoutMs), latest) as Instant;
	return giveUpAt < earliest ? request.deadline : giveUpAt;
}

function getUnknownGiveUpAt(state: State, request: CallerRequest): Instant {
	return request.workClass === 'quick'
		? addMilliseconds(state.now, (request.deadline - state.now) / 2)
		: request.deadline;
}
