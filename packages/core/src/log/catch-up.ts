/** Follows peers that are ahead: a host cut from the platform, or without a state, asks one of them at a time. */
import {computeChecksum, findDigest} from '../fleet/digest.js';
import {describeDecoders} from '../fleet/decoders.js';
import {listLivePeers} from '../membership/liveness.js';
import {createSend} from '../membership/send.js';
import type {PeerMessageOf} from '../membership/messages.js';
import type {Peer} from '../membership/state.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Offset} from '../types/time.js';
import {applyLoggedRecords, takeFleetState} from './applying.js';
import {acceptSnapshotChunk, createSnapshotChunks} from './snapshot-chunks.js';

/** How long the log may bring the records itself before a peer is asked. */
const patienceMs = 300;
const askTimeoutMs = 1000;
const recordsPerMessage = 10;
const messagesPerReply = 10;

const decodersChecksum = computeChecksum(describeDecoders()).slice(0, 16);

/** A short text that is equal on two hosts which know the same schema versions. */
export function getDecodersChecksum(): string {
	return decodersChecksum;
}

/** Asks a peer that is ahead. */
export function tickCatchUp(state: State): Effect[] {
	const {catchUp} = state.log;
	const ahead = listLivePeers(state).filter(peer => peer.isLinked && peer.nextOffset > state.fleet.nextOffset);
	if (ahead.length === 0) {
		catchUp.behindSince = undefined;
		return [];
	}

	if (catchUp.behindSince === undefined || catchUp.behindAt !== state.fleet.nextOffset) {
		catchUp.behindSince = state.now;
		catchUp.behindAt = state.fleet.nextOffset;
	}

	const isDue = state.now >= catchUp.askAt && state.now >= addMilliseconds(catchUp.behindSince, getPatienceMs(state));
	return isDue ? requestRecords(state, ahead) : [];
}

/** Answers a peer's question with records, or with the whole state where the records are not kept. */
export function answerRecordsRequest(state: State, peer: Peer, message: PeerMessageOf<'records/request'>): Effect[] {
	if (!state.log.isInitialSyncDone || message.from >= state.fleet.nextOffset) {
		return [];
	}

	if (hasOtherHistory(state, message.from, message.digest, message.decoders)) {
		return [
			reportOtherHistory(peer, message.from),
			createSend(peer.hostId, {type: 'history/differs', offset: message.from}),
		];
	}

	return message.isStateWanted || !isKept(state, message.from)
		? sendState(state, peer)
		: sendRecords(state, peer, message.from);
}

/** Applies records that a peer passed on. */
export function acceptRecords(state: State, message: PeerMessageOf<'records/reply'>): Effect[] {
	if (state.log.startedFrom === undefined) {
		return [];
	}

	state.log.catchUp.askAt = state.now;
	return applyLoggedRecords(state, message.records);
}

/** Takes over a peer's state once all of it is here. */
export function acceptStateChunk(state: State, message: PeerMessageOf<'state/chunk'>): Effect[] {
	const fleet = acceptSnapshotChunk(state.log.catchUp.assembly, message.chunk);
	return fleet ? takeFleetState(state, fleet, 'peer') : [];
}

/** Compares histories by a heartbeat: a difference at one offset is reported once for each peer. */
export function compareHistory(state: State, peer: Peer, message: PeerMessageOf<'heartbeat'>): Effect[] {
	const {nextOffset, digest, decoders} = message;
	const isOther = digest !== undefined && decoders !== undefined && hasOtherHistory(state, nextOffset, digest, decoders);
	if (!isOther || peer.hasOtherHistory) {
		return [];
	}

	peer.hasOtherHistory = true;
	return [reportOtherHistory(peer, nextOffset)];
}

/** The report that a peer's history differs; what was applied here is kept. */
export function reportOtherHistory(peer: Peer, offset: Offset): Effect {
	return {type: 'invariant/violated', name: 'fleet-digest', detail: `${peer.hostId} has another history up to offset ${offset}`};
}

function hasOtherHistory(state: State, offset: Offset, digest: string, decoders: string): boolean {
	const own = findDigest(state.fleet.recentDigests, offset);
	return own !== undefined && decoders === decodersChecksum && own !== digest;
}

function getPatienceMs(state: State): number {
	const {log} = state;
	return log.isReachable && !log.isGapped && log.isInitialSyncDone ? patienceMs : 0;
}

function requestRecords(state: State, ahead: readonly Peer[]): Effect[] {
	const {catchUp} = state.log;
	const others = ahead.filter(peer => peer.hostId !== catchUp.askedPeer);
	const [chosen] = (others.length > 0 ? others : ahead).toSorted((left, right) => right.nextOffset - left.nextOffset);
	if (!chosen) {
		return [];
	}

	catchUp.askedPeer = chosen.hostId;
	catchUp.askAt = addMilliseconds(state.now, askTimeoutMs);
	return [createSend(chosen.hostId, {
		type: 'records/request',
		from: state.fleet.nextOffset,
		digest: state.fleet.digest,
		decoders: decodersChecksum,
		isStateWanted: !state.log.isInitialSyncDone,
	})];
}

function isKept(state: State, from: Offset): boolean {
	const first = state.log.recent[0]?.offset;
	return first !== undefined && first <= from;
}

function sendRecords(state: State, peer: Peer, from: Offset): Effect[] {
	const {recent} = state.log;
	const start = from - (recent[0]?.offset ?? 0);
	return Array.from({length: messagesPerReply}, (_, index) => start + (index * recordsPerMessage))
		.map(first => recent.slice(first, first + recordsPerMessage))
		.filter(records => records.length > 0)
		.map(records => createSend(peer.hostId, {type: 'records/reply', records}));
}

function sendState(state: State, peer: Peer): Effect[] {
	const snapshotId = `${state.settings.incarnation}-peer-${state.fleet.nextOffset}`;
	return createSnapshotChunks(state.fleet, snapshotId).map(chunk => createSend(peer.hostId, {type: 'state/chunk', chunk}));
}
