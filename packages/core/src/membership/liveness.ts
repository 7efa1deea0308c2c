/** Decides which peers are live, by heartbeats that arrived in time. */
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {protocolVersion, type PeerMessageOf} from './messages.js';
import type {Peer} from './state.js';

export const heartbeatTimeoutMs = 1000;
/** If heartbeats are late for this long, one of the clocks is assumed to have been changed. */
const assumeClockChangeAfterMs = 5000;

/** Whether a peer has sent a recent heartbeat and has a compatible protocol version. */
export function isPeerLive(state: State, peer: Peer): boolean {
	return Math.max(peer.heardUntil, peer.keptUntil) > state.now && isPeerCompatible(peer);
}

/** Whether a host is linked and live. */
export function isHostReachable(state: State, hostId: HostId): boolean {
	const peer = state.membership.peers.get(hostId);
	return peer !== undefined && peer.isLinked && isPeerLive(state, peer);
}

export function listLivePeers(state: State): Peer[] {
	return [...state.membership.peers.values()].filter(peer => isPeerLive(state, peer));
}

/** Whether a peer's protocol version differs from this host's by at most one. An unknown version counts as compatible. */
export function isPeerCompatible(peer: Peer): boolean {
	return Math.abs((peer.protocolVersion ?? protocolVersion) - protocolVersion) <= 1;
}

/** Extends a peer's liveness by a heartbeat. The timeout counts from when it was sent, so one that was buffered while either side was frozen does not make the peer live. */
export function updateLiveness(state: State, peer: Peer, message: Pick<PeerMessageOf<'heartbeat'>, 'incarnation' | 'sentAt'>): void {
	const delayMs = state.now - message.sentAt;
	const isNewIncarnation = peer.incarnation !== message.incarnation;
	peer.leastDelayMs = isNewIncarnation ? delayMs : Math.min(delayMs, peer.leastDelayMs ?? delayMs);
	peer.hasOtherHistory &&= !isNewIncarnation;
	peer.incarnation = message.incarnation;
	peer.latestSentAt = message.sentAt;
	const lateMs = delayMs - peer.leastDelayMs;
	peer.lateSince = lateMs > heartbeatTimeoutMs ? peer.lateSince ?? state.now : undefined;
	if (peer.lateSince !== undefined && addMilliseconds(peer.lateSince, assumeClockChangeAfterMs) <= state.now) {
		peer.leastDelayMs = delayMs;
		peer.lateSince = undefined;
	}

	const heardUntil = message.sentAt + peer.leastDelayMs + heartbeatTimeoutMs;
	peer.heardUntil = Math.max(peer.heardUntil, heardUntil) as Instant;
}

/**
 * Keeps the peers that were live when this process stopped running for the rest of their timeout: the time in which it did not run says nothing of them.
 * Only heartbeats count towards it, so that a process that stops again and again still notices a dead peer.
 */
export function keepLivePeers(state: State, stoppedAt: Instant): void {
	for (const peer of state.membership.peers.values()) {
		if (peer.heardUntil > stoppedAt) {
			peer.keptUntil = (peer.heardUntil + state.now - stoppedAt) as Instant;
		}
	}
}
