/** Sends heartbeats to the other entry hosts. While nothing has changed, a short pulse is sent that has only its sending time and that of the peer's latest heartbeat. */
import {getDecodersChecksum} from '../log/catch-up.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {PeerMessage} from './messages.js';
import {createSend} from './send.js';
import type {Peer} from './state.js';

export const heartbeatIntervalMs = 250;
/** A full heartbeat is sent this often even if nothing has changed. */
const fullIntervalMs = 2000;
/** The first protocol version with pulses; peers of an older version get full heartbeats only. */
const pulseProtocolVersion = 2;

/** Sends each linked peer a full heartbeat or a pulse. */
export function sendHeartbeats(state: State): Effect[] {
	return [...state.membership.peers.values()]
		.filter(peer => peer.isLinked)
		.map(peer => isFullHeartbeatDue(state, peer) ? sendHeartbeat(state, peer) : sendTracked(state, peer, {type: 'pulse', sentAt: state.now, heardAt: peer.latestSentAt}));
}

/** Sends a full heartbeat. */
export function sendHeartbeat(state: State, peer: Peer): Effect {
	const {latestKnown} = state.log.snapshots;
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
		snapshotOffset: latestKnown.nextOffset,
		snapshotWrittenAt: latestKnown.writtenAt,
	});
}

function isFullHeartbeatDue(state: State, peer: Peer): boolean {
	const supportsPulses = (peer.protocolVersion ?? 0) >= pulseProtocolVersion;
	return !supportsPulses || peer.told !== describePosition(state) || state.now >= addMilliseconds(peer.toldAt, fullIntervalMs);
}

/** Describes the offset and the latest snapshot; a change of them requires a full heartbeat. */
function describePosition({fleet, log}: State): string {
	return `${fleet.nextOffset} ${log.snapshots.latestKnown.nextOffset} ${log.snapshots.latestKnown.writtenAt}`;
}

/** Sends a message and stores the time in `heartbeatSentAt`, since slot gossip is sent along with heartbeats. */
function sendTracked(state: State, peer: Peer, message: PeerMessage): Effect {
	peer.heartbeatSentAt = state.now;
	return createSend(peer.hostId, message);
}
