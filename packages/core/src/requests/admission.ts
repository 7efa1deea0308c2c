/** Goes on with a request whose id is claimed. */
import {releaseClaim} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {takeEarlyGrant} from './early-slots.js';
import {requestSlot, dispatchGranted} from './slot-asks.js';

/** Uses the slot that was granted beside the claim, waits for it, or asks anew; a request whose caller has gone gives its claim back. */
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
