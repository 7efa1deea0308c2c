/**
 * Slots asked for beside the claim of a non-idempotent request, so that it waits for one round trip and not for two.
 * Until the claim is decided the request is neither dispatched nor refused: its id may have run elsewhere.
 */
import {isClaimPending} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {requestSlot, releaseSlot, cancelAsks} from './slot-asks.js';
import type {HeldGrant, OpenRequest} from './state.js';

/** An unused slot goes back after this time, however long the claim takes. */
const keepMs = 50;

/** Asks for a slot while the claim is being voted on. */
export function requestSlotEarly(state: State, open: OpenRequest): Effect[] {
	return isClaimPending(state, open.request) ? requestSlot(state, open) : [];
}

/** Keeps a granted slot until the claim is decided. */
export function keepEarlyGrant(state: State, open: OpenRequest, grant: HeldGrant): Effect[] {
	open.early = {grant, keepUntil: addMilliseconds(state.now, keepMs)};
	return cancelAsks(state, open);
}

/** The slot that was kept, if there is one; it is kept no longer. */
export function takeEarlyGrant(open: OpenRequest): HeldGrant | undefined {
	const grant = open.early?.grant;
	open.early = undefined;
	return grant;
}

/** Gives all slots and asks of a request back that has no claim. */
export function releaseEarlySlots(state: State, open: OpenRequest): Effect[] {
	const grant = takeEarlyGrant(open);
	return [...grant ? releaseSlot(state, grant, 'withdrawn', 0) : [], ...cancelAsks(state, open)];
}

/** Gives slots back whose claims take long; the request asks again once it is claimed. */
export function tickEarlyGrants(state: State): Effect[] {
	return [...state.requests.open.values()]
		.filter(({early}) => early !== undefined && early.keepUntil <= state.now)
		.flatMap(open => releaseEarlySlots(state, open));
}
