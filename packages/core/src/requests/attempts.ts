/** Dispatches requests to targets and ends their attempts. */
import {judgeDispatch} from '../claims/claims.js';
import type {AttemptFailedEvent} from '../targets/events.js';
import type {Target} from '../targets/state.js';
import type {Effect} from '../types/effects.js';
import type {AttemptId} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {endRequest} from './refusals.js';

/** Sends a request to a target. */
export function dispatchAttempt(state: State, request: CallerRequest, target: Target): Effect[] {
	state.requests.attemptCount += 1;
	const attemptId = `${state.settings.incarnation}-${state.requests.attemptCount}` as AttemptId;
	state.requests.attempts.set(attemptId, {attemptId, request, target: target.listed.hostId});
	target.outstanding += 1;
	return [...judgeDispatch(state, request), {
		type: 'attempt/dispatch',
		attemptId,
		requestId: request.requestId,
		callerKey: request.callerKey,
		target: target.listed.hostId,
		address: target.listed.address,
		isIdempotent: request.isIdempotent,
		giveUpAt: request.deadline,
	}];
}

/** Ends an attempt; a failed one is answered with its fault. */
export function finishAttempt(state: State, attemptId: AttemptId, failure: AttemptFailedEvent | undefined): Effect[] {
	const attempt = state.requests.attempts.get(attemptId);
	if (!attempt) {
		return [];
	}

	state.requests.attempts.delete(attemptId);
	const target = state.targets.targets.get(attempt.target);
	if (target) {
		target.outstanding -= 1;
	}

	if (!failure) {
		return [];
	}

	return endRequest(state, attempt.request, failure.fault);
}
