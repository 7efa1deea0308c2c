/** Judges which peers are live, by heartbeats that came in time. */
import type {HostId} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {protocolVersion, type PeerMessageOf} from './messages.js';
import type {Peer} from './state.js';

/** Within an availability zone, where stewards are chosen. */
const intervalMs = 250;
const zoneCrossingIntervalMs = 500;
/** A peer is live while no more than this many heartbeats in a row are missing. */
const missedHeartbeats = 4;
/** After so long of late heartbeats, the clocks are taken to have changed. */
const clockChangeMs = 5000;

/** How often heartbeats go to, and come from, another entry host, in milliseconds. */
export function getHeartbeatIntervalMs({settings, membership}: State, hostId: HostId): number {
	const isPeer = (host: EntryHost) => host.hostId === hostId;
	const host = membership.linkedHosts.find(candidate => isPeer(candidate)) ?? settings.peers.find(candidate => isPeer(candidate));
	const isZoneCrossing = host !== undefined && host.availabilityZone !== settings.self.availabilityZone;
	return isZoneCrossing ? zoneCrossingIntervalMs : intervalMs;
}

/** Whether a peer was heard of late and speaks a version at most one apart. */
export function isPeerLive(state: State, peer: Peer): boolean {
	return peer.heardUntil > state.now && isPeerCompatible(peer);
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
export function noteHeartbeat(state: State, peer: Peer, message: Pick<PeerMessageOf<'heartbeat'>, 'incarnation' | 'sentAt'>): void {
	const delayMs = state.now - message.sentAt;
	const timeoutMs = missedHeartbeats * getHeartbeatIntervalMs(state, peer.hostId);
	const isNewLife = peer.incarnation !== message.incarnation;
	peer.leastDelayMs = isNewLife ? delayMs : Math.min(delayMs, peer.leastDelayMs ?? delayMs);
	peer.hasOtherHistory &&= !isNewLife;
	peer.incarnation = message.incarnation;
	const lateMs = delayMs - peer.leastDelayMs;
	peer.lateSince = lateMs > timeoutMs ? peer.lateSince ?? state.now : undefined;
	if (peer.lateSince !== undefined && addMilliseconds(peer.lateSince, clockChangeMs) <= state.now) {
		peer.leastDelayMs = delayMs;
		peer.lateSince = undefined;
	}

	const heardUntil = message.sentAt + peer.leastDelayMs + timeoutMs;
	peer.heardUntil = Math.max(peer.heardUntil, heardUntil) as Instant;
}
