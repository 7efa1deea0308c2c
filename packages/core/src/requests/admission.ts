/** Starts a non-idempotent request once its id is claimed. */
import {releaseClaim} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {takeEarlyGrant} from './early-slots.js';
import {requestSlot, dispatchGranted} from './slot-asks.js';

/** Dispatches with the slot granted during the claim vote, keeps waiting for one, or asks again. Releases the claim if the caller has gone. */
export function startClaimedRequest(state: State, request: CallerRequest): Effect[] {
	const open = state.requests.open.get(request.callerKey);
	if (!open) {
		return releaseClaim(state, request);
	}

	const grant = takeEarlyGrant(open);
	if (grant) {
		return dispatchGranted(state, open, grant);
	}

	return open.asks.size > 0 ? [] : requestSlot(state, open);
}
