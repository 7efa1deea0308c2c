/**
 * Asks for a slot in parallel with the claim vote of a non-idempotent request, which then waits for one round trip instead of two.
 * Until the claim is decided the request is neither dispatched nor refused, because a request with the same id may have run on another host.
 */
import {isClaimPending} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {requestSlot, releaseSlot, cancelAsks} from './slot-asks.js';
import type {HeldGrant, OpenRequest} from './state.js';

/** An unused slot is released after this time, even if the claim is still undecided. */
const keepMs = 50;

/** Asks for a slot while the claim is being voted on. */
export function requestSlotEarly(state: State, open: OpenRequest): Effect[] {
	return isClaimPending(state, open.request) ? requestSlot(state, open) : [];
}

/** Holds a granted slot until the claim is decided, and withdraws the request's other asks. */
export function keepEarlyGrant(state: State, open: OpenRequest, grant: HeldGrant): Effect[] {
	open.early = {grant, keepUntil: addMilliseconds(state.now, keepMs)};
	return cancelAsks(state, open);
}

/** Removes and returns the slot granted during the claim vote, if there is one. */
export function takeEarlyGrant(open: OpenRequest): HeldGrant | undefined {
	const grant = open.early?.grant;
	open.early = undefined;
	return grant;
}

/** Releases the early slot of a request, if there is one, and withdraws its asks. */
export function releaseEarlySlots(state: State, open: OpenRequest): Effect[] {
	const grant = takeEarlyGrant(open);
	return [...grant ? releaseSlot(state, grant, 'withdrawn', 0) : [], ...cancelAsks(state, open)];
}

/** Releases slots whose claims take longer than `keepMs`; the request asks again once it is claimed. */
export function tickEarlyGrants(state: State): Effect[] {
	return [...state.requests.open.values()]
		.filter(({early}) => early !== undefined && early.keepUntil <= state.now)
		.flatMap(open => releaseEarlySlots(state, open));
}
