/**
 * Slots kept for a moment after a request has ended, where their steward allows it: the next like request needs not ask.
 * A steward allows it while many slots are free, and recalls them when an ask has to wait.
 */
import type {SlotMessageOf} from '../slots/messages.js';
import {recordRunTime} from '../slots/run-times.js';
import {isTargetUsable} from '../targets/health.js';
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {createRelease, releaseSlot} from './slot-asks.js';
import type {HeldGrant, KeptSlot, OpenRequest} from './state.js';

const keepMs = 1000;

/** Keeps the slot of an answered request, or gives it back. Unit of `runMs`: milliseconds. */
export function keepOrRelease(state: State, grant: HeldGrant, runMs: number): Effect[] {
	if (!grant.mayKeep || state.isStopping) {
		return releaseSlot(state, grant, 'answered', runMs);
	}

	const {ask} = grant;
	state.requests.kept.set(ask.askId, {grant, keepUntil: addMilliseconds(state.now, keepMs)});
	recordRunTime(state, ask.service, ask.workClass, runMs);
	return [createRelease(grant, 'answered', runMs, true)];
}

/** Takes a kept slot that a request can use. */
export function takeKeptSlot(state: State, open: OpenRequest): HeldGrant | undefined {
	const found = [...state.requests.kept.values()].findLast(kept => canServe(state, open, kept));
	if (found) {
		state.requests.kept.delete(found.grant.ask.askId);
	}

	return found?.grant;
}

/** The steward wants a slot back: at once if it is idle, else when its request ends. */
export function acceptRecall(state: State, _steward: HostId, {askId}: SlotMessageOf<'slot-recall'>): Effect[] {
	const grant = state.requests.grants.get(askId);
	if (grant) {
		grant.mayKeep = false;
	}

	return grant && state.requests.kept.has(askId) ? releaseKept(state, grant) : [];
}

/** Gives back what was kept in vain. */
export function tickKeptSlots(state: State): Effect[] {
	return [...state.requests.kept.values()]
		.filter(({keepUntil}) => keepUntil <= state.now || state.isStopping)
		.flatMap(({grant}) => releaseKept(state, grant));
}

function releaseKept(state: State, grant: HeldGrant): Effect[] {
	state.requests.kept.delete(grant.ask.askId);
	return releaseSlot(state, grant, 'withdrawn', 0);
}

function canServe(state: State, {request, avoid}: OpenRequest, {grant: {ask, target: hostId}, keepUntil}: KeptSlot): boolean {
	const target = state.targets.targets.get(hostId);
	return ask.service === request.service && ask.workClass === request.workClass && keepUntil > state.now
		&& target !== undefined && isTargetUsable(state, target) && !avoid.includes(hostId);
}
