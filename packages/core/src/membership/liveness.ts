/** Judges which peers are live, by heartbeats that came in time. */
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {protocolVersion, type PeerMessageOf} from './messages.js';
import type {Peer} from './state.js';

export const heartbeatTimeoutMs = 1000;
/** After so long of late heartbeats, the clocks are taken to have changed. */
const clockChangeMs = 5000;

/** Whether a peer was heard of late and speaks a version at most one apart. */
export function isPeerLive(state: State, peer: Peer): boolean {
	return peer.heardUntil > state.now && isPeerCompatible(peer);
}

/** Whether a host is linked and live. */
export function isHostReachable(state: State, hostId: HostId): boolean {
	const peer = state.membership.peers.get(hostId);
	return peer !== undefined && peer.isLinked && isPeerLive(state, peer);
}

/** The peers that are live. */
export function listLivePeers(state: State): Peer[] {
	return [...state.membership.peers.values()].filter(peer => isPeerLive(state, peer));
}

/** Whether a peer's messages are understood here. */
export function isPeerCompatible(peer: Peer): boolean {
	return Math.abs((peer.protocolVersion ?? protocolVersion) - protocolVersion) <= 1;
}

/** Notes a heartbeat; one that lay in a buffer while either side was frozen counts from when it was sent. */
export function updateLiveness(state: State, peer: Peer, message: Pick<PeerMessageOf<'heartbeat'>, 'incarnation' | 'sentAt'>): void {
	const delayMs = state.now - message.sentAt;
	const isNewIncarnation = peer.incarnation !== message.incarnation;
	peer.leastDelayMs = isNewIncarnation ? delayMs : Math.min(delayMs, peer.leastDelayMs ?? delayMs);
	peer.hasOtherHistory &&= !isNewIncarnation;
	peer.incarnation = message.incarnation;
	peer.latestSentAt = message.sentAt;
	const lateMs = delayMs - peer.leastDelayMs;
	peer.lateSince = lateMs > heartbeatTimeoutMs ? peer.lateSince ?? state.now : undefined;
	if (peer.lateSince !== undefined && addMilliseconds(peer.lateSince, clockChangeMs) <= state.now) {
		peer.leastDelayMs = delayMs;
		peer.lateSince = undefined;
	}

	const heardUntil = message.sentAt + peer.leastDelayMs + heartbeatTimeoutMs;
	peer.heardUntil = Math.max(peer.heardUntil, heardUntil) as Instant;
}
