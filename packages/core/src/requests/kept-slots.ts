/**
 * Slots that this host keeps for a short time after a request has ended, so that the next request of the same service and class needs no ask.
 * The steward of a slot allows this while many slots are free, and recalls kept slots when an ask has to wait.
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

/** Keeps the slot of an answered request if its steward allows that, otherwise releases it. Unit of `runMs`: milliseconds. */
export function keepOrRelease(state: State, grant: HeldGrant, runMs: number): Effect[] {
	if (!grant.mayKeep || state.isStopping) {
		return releaseSlot(state, grant, 'answered', runMs);
	}

	const {ask} = grant;
	state.requests.kept.set(ask.askId, {grant, keepUntil: addMilliseconds(state.now, keepMs)});
	recordRunTime(state, ask.service, ask.workClass, runMs);
	return [createRelease(grant, 'answered', runMs, true)];
}

/** Removes and returns a kept slot that a request can use. */
export function takeKeptSlot(state: State, open: OpenRequest): HeldGrant | undefined {
	const found = [...state.requests.kept.values()].findLast(kept => canServe(state, open, kept));
	if (found) {
		state.requests.kept.delete(found.grant.ask.askId);
	}

	return found?.grant;
}

/** Handles a steward's recall of a slot: releases it at once if it is idle, otherwise when its request ends. */
export function acceptRecall(state: State, _steward: HostId, {askId}: SlotMessageOf<'slot-recall'>): Effect[] {
	const grant = state.requests.grants.get(askId);
	if (grant) {
		grant.mayKeep = false;
	}

	return grant && state.requests.kept.has(askId) ? releaseKept(state, grant) : [];
}

/** Releases slots that were not reused in time, and all kept slots when this host is stopping. */
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
