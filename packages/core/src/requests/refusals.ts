/** Final answers to requests that are not tried again: a refusal only if no attempt can have run. */
import {releaseClaim} from '../claims/claims.js';
import {drawRetryAt} from '../slots/retry-at.js';
import type {Effect} from '../types/effects.js';
import {getFaultAnswer, type Fault, type FaultKind} from '../types/faults.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';
import type {OpenRequest} from './state.js';

/** Ends a request with a refusal, or with an unknown outcome if an earlier attempt may have run. */
export function refuseRequest(state: State, open: OpenRequest, kind: FaultKind, detail: string): Effect[] {
	return endRequest(state, open, getFinalFault(open, {kind, detail}), drawRetryAt(state, 0));
}

/** The fault to answer with: the refusal, or if an attempt may have run, the fault of that attempt with the reason why there is no retry. */
export function getFinalFault(open: OpenRequest, refusal: Fault): Fault {
	const {unknownOutcome} = open;
	return unknownOutcome ? {kind: unknownOutcome.kind, detail: `${unknownOutcome.detail}; not tried again: ${refusal.kind}`} : refusal;
}

/** Ends a request with a fault. If it cannot have run, its claim is released, so that a repeat may run. */
export function endRequest(state: State, open: OpenRequest, fault: Fault, retryAt: Instant): Effect[] {
	state.requests.open.delete(open.request.callerKey);
	const mayHaveRun = open.unknownOutcome !== undefined || getFaultAnswer(fault.kind).family !== 'refused';
	return [
		...mayHaveRun ? [] : releaseClaim(state, open.request),
		{
			type: 'caller/refuse', callerKey: open.request.callerKey, fault, retryAt,
		},
	];
}
