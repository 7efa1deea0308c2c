/** Fetches records or the whole fleet state from peers that are ahead, one peer at a time: for hosts that have no state yet, lack expired records or cannot reach the platform. */
import {computeChecksum, findDigest} from '../fleet/digest.js';
import {describeDecoders} from '../fleet/decoders.js';
import {listLivePeers} from '../membership/liveness.js';
import {createSend} from '../membership/send.js';
import type {PeerMessageOf} from '../membership/messages.js';
import type {Peer} from '../membership/state.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Offset} from '../types/time.js';
import {applyLoggedRecords, replaceFleetState} from './applying.js';
import {acceptSnapshotChunk, createSnapshotChunks} from './snapshot-chunks.js';

/** While this host can follow the log, it asks a peer only after it has lagged behind for this long. */
const peerRequestDelayMs = 300;
const requestTimeoutMs = 1000;
const recordsPerMessage = 10;
const messagesPerReply = 10;

const decodersChecksum = computeChecksum(describeDecoders()).slice(0, 16);

/** The checksum of the schema versions that this host can decode; equal on two hosts that know the same versions. */
export function getDecodersChecksum(): string {
	return decodersChecksum;
}

/** Requests records from a peer that is ahead, when a request is due. */
export function tickCatchUp(state: State): Effect[] {
	const {catchUp} = state.log;
	const ahead = listLivePeers(state).filter(peer => peer.isLinked && peer.nextOffset > state.fleet.nextOffset);
	if (ahead.length === 0) {
		catchUp.behindSince = undefined;
		return [];
	}

	if (catchUp.behindSince === undefined || catchUp.behindAtOffset !== state.fleet.nextOffset) {
		catchUp.behindSince = state.now;
		catchUp.behindAtOffset = state.fleet.nextOffset;
	}

	const isDue = state.now >= catchUp.nextRequestAt && state.now >= addMilliseconds(catchUp.behindSince, getPeerRequestDelayMs(state));
	return isDue ? requestRecords(state, ahead) : [];
}

/** Answers a peer's request with records, or with the whole state if this host no longer has those records or the peer asks for the state. */
export function answerRecordsRequest(state: State, peer: Peer, message: PeerMessageOf<'records/request'>): Effect[] {
	if (!state.log.isInitialSyncDone || message.from >= state.fleet.nextOffset) {
		return [];
	}

	if (hasDivergedHistory(state, message.from, message.digest, message.decoders)) {
		return [
			reportDivergedHistory(peer, message.from),
			createSend(peer.hostId, {type: 'history/differs', offset: message.from}),
		];
	}

	return message.isStateWanted || !isRetained(state, message.from)
		? sendState(state, peer)
		: sendRecords(state, peer, message.from);
}

/** Applies records that a peer sent. */
export function acceptRecords(state: State, message: PeerMessageOf<'records/reply'>): Effect[] {
	if (state.log.startedFrom === undefined) {
		return [];
	}

	state.log.catchUp.nextRequestAt = state.now;
	return applyLoggedRecords(state, message.records);
}

/** Replaces this host's state by a peer's once all chunks have arrived. */
export function acceptStateChunk(state: State, message: PeerMessageOf<'state/chunk'>): Effect[] {
	const fleet = acceptSnapshotChunk(state.log.catchUp.assembly, message.chunk);
	return fleet ? replaceFleetState(state, fleet, 'peer') : [];
}

/** Compares this host's history with the digest in a peer's heartbeat. A difference is reported once for each incarnation of the peer. */
export function compareHistory(state: State, peer: Peer, message: PeerMessageOf<'heartbeat'>): Effect[] {
	const {nextOffset, digest, decoders} = message;
	const isDiverged = digest !== undefined && decoders !== undefined && hasDivergedHistory(state, nextOffset, digest, decoders);
	if (!isDiverged || peer.hasOtherHistory) {
		return [];
	}

	peer.hasOtherHistory = true;
	return [reportDivergedHistory(peer, nextOffset)];
}

/** Reports that a peer's history differs from this host's. This host keeps the records that it applied. */
export function reportDivergedHistory(peer: Peer, offset: Offset): Effect {
	return {type: 'invariant/violated', name: 'fleet-digest', detail: `${peer.hostId} applied a different history up to offset ${offset}`};
}

function hasDivergedHistory(state: State, offset: Offset, digest: string, decoders: string): boolean {
	const own = findDigest(state.fleet.recentDigests, offset);
	return own !== undefined && decoders === decodersChecksum && own !== digest;
}

function getPeerRequestDelayMs(state: State): number {
	const {log} = state;
	return log.isReachable && !log.hasGap && log.isInitialSyncDone ? peerRequestDelayMs : 0;
}

function requestRecords(state: State, ahead: readonly Peer[]): Effect[] {
	const {catchUp} = state.log;
	const others = ahead.filter(peer => peer.hostId !== catchUp.requestedPeer);
	const [chosen] = (others.length > 0 ? others : ahead).toSorted((left, right) => right.nextOffset - left.nextOffset);
	if (!chosen) {
		return [];
	}

	catchUp.requestedPeer = chosen.hostId;
	catchUp.nextRequestAt = addMilliseconds(state.now, requestTimeoutMs);
	return [createSend(chosen.hostId, {
		type: 'records/request',
		from: state.fleet.nextOffset,
		digest: state.fleet.digest,
		decoders: decodersChecksum,
		isStateWanted: !state.log.isInitialSyncDone,
	})];
}

function isRetained(state: State, from: Offset): boolean {
	const first = state.log.recentRecords[0]?.offset;
	return first !== undefined && first <= from;
}

function sendRecords(state: State, peer: Peer, from: Offset): Effect[] {
	const {recentRecords} = state.log;
	const start = from - (recentRecords[0]?.offset ?? 0);
	return Array.from({length: messagesPerReply}, (_, index) => start + (index * recordsPerMessage))
		.map(first => recentRecords.slice(first, first + recordsPerMessage))
		.filter(records => records.length > 0)
		.map(records => createSend(peer.hostId, {type: 'records/reply', records}));
}

function sendState(state: State, peer: Peer): Effect[] {
	const snapshotId = `${state.settings.incarnation}-peer-${state.fleet.nextOffset}`;
	return createSnapshotChunks(state.fleet, snapshotId).map(chunk => createSend(peer.hostId, {type: 'state/chunk', chunk}));
}
