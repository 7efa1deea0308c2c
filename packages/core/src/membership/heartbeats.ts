/** Heartbeats to the other entry hosts. While nothing has changed, a pulse says only when it was sent and what was heard. */
import {getDecodersChecksum} from '../log/catch-up.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {PeerMessage} from './messages.js';
import {createSend} from './send.js';
import type {Peer} from './state.js';

export const heartbeatIntervalMs = 250;
/** The whole heartbeat is repeated this often though nothing has changed. */
const fullIntervalMs = 2000;
/** Peers of an older version do not know pulses. */
const pulseProtocolVersion = 2;

/** Sends what is due to each linked peer. */
export function sendHeartbeats(state: State): Effect[] {
	return [...state.membership.peers.values()]
		.filter(peer => peer.isLinked)
		.map(peer => isFullHeartbeatDue(state, peer) ? sendHeartbeat(state, peer) : sendTracked(state, peer, {type: 'pulse', sentAt: state.now, heardAt: peer.latestSentAt}));
}

/** The whole heartbeat. */
export function sendHeartbeat(state: State, peer: Peer): Effect {
	const {latestKnown: known} = state.log.snapshots;
	peer.told = describePosition(state);
	peer.toldAt = state.now;
	return sendTracked(state, peer, {
		type: 'heartbeat',
		hostId: state.settings.self.hostId,
		incarnation: state.settings.incarnation,
		sentAt: state.now,
		heardAt: peer.latestSentAt,
		nextOffset: state.fleet.nextOffset,
		digest: state.fleet.digest,
		decoders: getDecodersChecksum(),
		snapshotOffset: known.nextOffset,
		snapshotWrittenAt: known.writtenAt,
	});
}

function isFullHeartbeatDue(state: State, peer: Peer): boolean {
	const knowsPulses = (peer.protocolVersion ?? 0) >= pulseProtocolVersion;
	return !knowsPulses || peer.told !== describePosition(state) || state.now >= addMilliseconds(peer.toldAt, fullIntervalMs);
}

/** What a peer must be told anew when it changes. */
function describePosition({fleet, log}: State): string {
	return `${fleet.nextOffset} ${log.snapshots.latestKnown.nextOffset} ${log.snapshots.latestKnown.writtenAt}`;
}

/** Gossip goes along with what is sent here, so the peer keeps when that was. */
function sendTracked(state: State, peer: Peer, message: PeerMessage): Effect {
	peer.heartbeatSentAt = state.now;
	return createSend(peer.hostId, message);
}
