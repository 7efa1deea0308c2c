/** Goes on with a request whose id is claimed. */
import {releaseClaim} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {askForSlot} from './slot-asks.js';

/** Asks for a slot; a request whose caller has gone in the meantime gives its claim back. */
export function admitClaimedRequest(state: State, request: CallerRequest): Effect[] {
	const open = state.requests.open.get(request.callerKey);
	return open ? askForSlot(state, open) : releaseClaim(state, request);
}
