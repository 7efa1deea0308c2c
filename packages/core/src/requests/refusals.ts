/** Final answers of requests that were given up. */
import {releaseClaim} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import {getFaultAnswer, type Fault, type FaultKind} from '../types/faults.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';

const comeBackMs = 500;

/** Ends a request that was not run with a refusal. */
export function refuseRequest(state: State, request: CallerRequest, kind: FaultKind, detail: string): Effect[] {
	return endRequest(state, request, {kind, detail});
}

/** Ends a request with a fault; what was refused may be claimed again. */
export function endRequest(state: State, request: CallerRequest, fault: Fault): Effect[] {
	const wasRefused = getFaultAnswer(fault.kind).family === 'refused';
	const releases = wasRefused ? releaseClaim(state, request.requestId, request.callerKey) : [];
	return [...releases, {
		type: 'caller/refuse',
		callerKey: request.callerKey,
		fault,
		comeBackAt: addMilliseconds(state.now, comeBackMs),
	}];
}
