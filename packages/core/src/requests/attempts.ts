/** Dispatches requests to targets, ends their attempts and decides whether to retry. */
import {checkClaimed} from '../claims/claims.js';
import {drawRetryAt} from '../slots/retry-at.js';
import type {SlotEnd} from '../slots/messages.js';
import type {AttemptAnsweredEvent, AttemptFailedEvent} from '../targets/events.js';
import type {Target} from '../targets/state.js';
import type {Effect} from '../types/effects.js';
import type {AttemptId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {getGiveUpAt} from './attempt-timeouts.js';
import {keepOrRelease} from './kept-slots.js';
import {endRequest, refuseRequest} from './refusals.js';
import {recordFirstAttempt, takeRetry} from './retry-budget.js';
import {requestSlot, releaseSlot} from './slot-asks.js';
import type {Attempt, HeldGrant, OpenRequest} from './state.js';

const firstServerErrorStatus = 500;
const maxFreeUnsentRetries = 3;

/** Sends a request to the target whose slot was granted. */
export function dispatchAttempt(state: State, open: OpenRequest, grant: HeldGrant, target: Target): Effect[] {
	const {request} = open;
	if (request.deadline <= state.now) {
		return [
			...releaseSlot(state, grant, 'withdrawn', 0),
			...refuseRequest(state, open, 'deadline-unreachable', 'the deadline passed before the request was sent'),
		];
	}

	state.requests.attemptCount += 1;
	open.attemptCount += 1;
	if (open.attemptCount === 1) {
		recordFirstAttempt(state.requests, request.service);
	}

	const attemptId = `${state.settings.incarnation}-${state.requests.attemptCount}` as AttemptId;
	state.requests.attempts.set(attemptId, {
		attemptId, request, target: target.listed.hostId, grant, startedAt: state.now,
	});
	target.outstanding += 1;
	return [
		...checkClaimed(state, request),
		...checkDispatchInvariants(state, open, grant),
		{
			type: 'attempt/dispatch',
			attemptId,
			requestId: request.requestId,
			callerKey: request.callerKey,
			target: target.listed.hostId,
			address: target.listed.address,
			isIdempotent: request.isIdempotent,
			needsFreshConnection: open.attemptCount > 1,
			giveUpAt: getGiveUpAt(state, request, open.attemptCount),
		},
	];
}

/** Ends an attempt whose complete answer was forwarded to the caller. */
export function finishAttempt(state: State, event: AttemptAnsweredEvent): Effect[] {
	const attempt = removeAttempt(state, event.attemptId);
	if (!attempt) {
		return [];
	}

	state.requests.open.delete(attempt.request.callerKey);
	const runMs = state.now - attempt.startedAt;
	return event.status >= firstServerErrorStatus
		? releaseSlot(state, attempt.grant, 'failed', runMs)
		: keepOrRelease(state, attempt.grant, runMs);
}

/** Ends an attempt without a complete answer: retries if that is safe, otherwise answers the caller with a fault. */
export function endFailedAttempt(state: State, event: AttemptFailedEvent): Effect[] {
	const attempt = removeAttempt(state, event.attemptId);
	if (!attempt) {
		return [];
	}

	const release = releaseSlot(state, attempt.grant, getSlotEnd(event), state.now - attempt.startedAt);
	const open = state.requests.open.get(attempt.request.callerKey);
	return open ? [...release, ...retryOrEnd(state, open, attempt, event)] : release;
}

function retryOrEnd(state: State, open: OpenRequest, attempt: Attempt, event: AttemptFailedEvent): Effect[] {
	const isKnownNotRun = event.wasRefused || !event.wasSent;
	open.avoid.push(attempt.target);
	if (!isKnownNotRun) {
		open.unknownOutcome = event.fault;
	}

	if (event.hasAnswerBegun || !(isKnownNotRun || open.request.isIdempotent)) {
		return endRequest(state, open, event.fault, drawRetryAt(state, 0));
	}

	if (open.request.deadline <= state.now) {
		return refuseRequest(state, open, 'deadline-unreachable', event.fault.detail);
	}

	return isFreeRetry(open, event) || takeRetry(state.requests, open.request.service)
		? requestSlot(state, open)
		: refuseRequest(state, open, 'retry-budget-spent', event.fault.detail);
}

/** A request that was never sent put no load on a target, so its first few retries don't use the retry budget. */
function isFreeRetry(open: OpenRequest, event: AttemptFailedEvent): boolean {
	return !event.wasSent && open.attemptCount <= maxFreeUnsentRetries;
}

function removeAttempt(state: State, attemptId: AttemptId): Attempt | undefined {
	const attempt = state.requests.attempts.get(attemptId);
	state.requests.attempts.delete(attemptId);
	const target = attempt && state.targets.targets.get(attempt.target);
	if (target) {
		target.outstanding -= 1;
	}

	return attempt;
}

function getSlotEnd(event: AttemptFailedEvent): SlotEnd {
	if (event.wasRefused) {
		return 'busy';
	}

	return event.wasSent ? 'lost' : 'unsent';
}

/** Invariants: an attempt has a grant; a request that may have run is sent again only if it is idempotent. */
function checkDispatchInvariants(state: State, open: OpenRequest, grant: HeldGrant): Effect[] {
	const effects: Effect[] = [];
	if (!state.requests.grants.has(grant.ask.askId)) {
		effects.push({type: 'invariant/violated', name: 'attempt-has-grant', detail: grant.ask.askId});
	}

	if (open.unknownOutcome && !open.request.isIdempotent) {
		effects.push({type: 'invariant/violated', name: 'retry-of-sent-non-idempotent', detail: open.request.requestId});
	}

	return effects;
}
