/** Decides from what a host starts: the highest of snapshot and peers' state, or nothing if the log was never written. */
import {isPeerLive} from '../membership/liveness.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {LogReadEvent} from './events.js';

/** How long a host waits for the first word of its peers before it starts from an empty log. */
const peerGraceMs = 1500;

/** Whether this host has the latest fleet state it could learn of, and follows it. */
export function isReady(state: State): boolean {
	const {log} = state;
	return log.isInitialSyncDone && log.mustCatchUpUntil <= state.now && !state.isStopping;
}

/** Starts from the log if it keeps its first record; an empty log counts only once snapshots and peers were heard. */
export function startFromLog(state: State, page: LogReadEvent): Effect[] {
	const {log} = state;
	const mayStart = log.startedFrom === undefined
		&& page.firstOffset === 0
		&& (page.records.length > 0 || hasHeardAll(state));
	if (!mayStart) {
		return [];
	}

	log.startedFrom = 'log';
	return [{
		type: 'line/write', level: 'info', event: 'starts from the first record of the log', fields: {logNextOffset: page.nextOffset},
	}];
}

/**
 * Notes once that nothing higher than this host's state is known; until then it is not ready.
 * A gap says that something higher was there, and a log that no longer answers does not take that back.
 */
export function tickStart(state: State): Effect[] {
	const {log} = state;
	log.graceUntil ??= addMilliseconds(state.now, peerGraceMs);
	if (log.isInitialSyncDone || log.startedFrom === undefined || log.isGapped || !log.hasFollowed || !hasHeardAll(state)) {
		return [];
	}

	log.isInitialSyncDone = true;
	return [{
		type: 'line/write', level: 'info', event: 'ready', fields: {nextOffset: state.fleet.nextOffset, startedFrom: log.startedFrom},
	}];
}

function hasHeardAll(state: State): boolean {
	const {log} = state;
	const areSnapshotsHeard = log.snapshots.isRead || !log.isReachable;
	return areSnapshotsHeard && hasHeardPeers(state) && !isAnyPeerAhead(state);
}

function hasHeardPeers(state: State): boolean {
	const isGraceOver = state.log.graceUntil !== undefined && state.now >= state.log.graceUntil;
	return isGraceOver || state.settings.peers.every(({hostId}) => {
		const peer = state.membership.peers.get(hostId);
		return peer !== undefined && isPeerLive(state, peer);
	});
}

function isAnyPeerAhead(state: State): boolean {
	return [...state.membership.peers.values()].some(peer => isPeerLive(state, peer) && peer.nextOffset > state.fleet.nextOffset);
}
