/** Decides which state a host starts from: the latest of the snapshots' and the peers' states, or an empty one if the log was never written. */
import {isPeerLive} from '../membership/liveness.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {LogReadEvent} from './events.js';

/** How long a starting host waits for heartbeats from all its peers; after that it goes on without the missing ones. */
const peerGraceMs = 1500;

/** Whether this host has completed its initial synchronization, is not catching up after a freeze, and is not stopping. */
export function isReady(state: State): boolean {
	const {log} = state;
	return log.isInitialSyncDone && log.mustCatchUpUntil <= state.now && !state.isStopping;
}

/** Starts from the log if the log still keeps its first record. An empty log is accepted only once the snapshots and the peers were checked. */
export function startFromLog(state: State, page: LogReadEvent): Effect[] {
	const {log} = state;
	const mayStart = log.startedFrom === undefined
		&& page.firstOffset === 0
		&& (page.records.length > 0 || hasCheckedAllSources(state));
	if (!mayStart) {
		return [];
	}

	log.startedFrom = 'log';
	return [{
		type: 'line/write', level: 'info', event: 'starts from the first record of the log', fields: {logNextOffset: page.nextOffset},
	}];
}

/**
 * Completes the initial synchronization once no source is known to be ahead of this host's state; until then it is not ready.
 * A gap means that later records exist, also when the log no longer answers.
 */
export function tickStart(state: State): Effect[] {
	const {log} = state;
	log.graceUntil ??= addMilliseconds(state.now, peerGraceMs);
	if (log.isInitialSyncDone || log.startedFrom === undefined || log.hasGap || !log.isInitialReadTried || !hasCheckedAllSources(state)) {
		return [];
	}

	log.isInitialSyncDone = true;
	return [{
		type: 'line/write', level: 'info', event: 'ready', fields: {nextOffset: state.fleet.nextOffset, startedFrom: log.startedFrom},
	}];
}

function hasCheckedAllSources(state: State): boolean {
	const {log} = state;
	const areSnapshotsRead = log.snapshots.isRead || !log.isReachable;
	return areSnapshotsRead && hasHeardFromPeers(state) && !isAnyPeerAhead(state);
}

function hasHeardFromPeers(state: State): boolean {
	const isGraceOver = state.log.graceUntil !== undefined && state.now >= state.log.graceUntil;
	return isGraceOver || state.settings.peers.every(({hostId}) => {
		const peer = state.membership.peers.get(hostId);
		return peer !== undefined && isPeerLive(state, peer);
	});
}

function isAnyPeerAhead(state: State): boolean {
	return [...state.membership.peers.values()].some(peer => isPeerLive(state, peer) && peer.nextOffset > state.fleet.nextOffset);
}
