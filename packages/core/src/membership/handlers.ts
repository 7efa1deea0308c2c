/** Keeps heartbeat links to the other entry hosts. */
import {slotMessageHandlers} from '../slots/handlers.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant, type Offset} from '../types/time.js';
import type {MembershipEvent} from './events.js';
import type {PeerMessageOf, PeerMessageType} from './messages.js';
import type {Peer} from './state.js';

const heartbeatIntervalMs = 200;
const heartbeatTimeoutMs = 1000;

type MessageHandler<Type extends PeerMessageType> = (state: State, peer: Peer, message: PeerMessageOf<Type>) => Effect[];

const messageHandlers: {readonly [Type in PeerMessageType]: MessageHandler<Type>} = {
	...slotMessageHandlers,
	heartbeat(state, peer, message) {
		peer.incarnation = message.incarnation;
		peer.heardUntil = addMilliseconds(state.now, heartbeatTimeoutMs);
		peer.nextOffset = message.nextOffset;
		return [];
	},
};

export const membershipHandlers: HandlerTable<MembershipEvent['type']> = {
	'peer/linked'(state, event) {
		findPeer(state, event.peer).isLinked = true;
		return [];
	},
	'peer/unlinked'(state, event) {
		findPeer(state, event.peer).isLinked = false;
		return [];
	},
	'peer/message'(state, event) {
		const handle = messageHandlers[event.message.type] as MessageHandler<PeerMessageType>;
		return handle(state, findPeer(state, event.peer), event.message);
	},
};

/** Sends heartbeats when they are due. */
export function tickMembership(state: State): Effect[] {
	if (state.now < state.membership.nextHeartbeatAt) {
		return [];
	}

	state.membership.nextHeartbeatAt = addMilliseconds(state.now, heartbeatIntervalMs);
	return [...state.membership.peers.values()].filter(peer => peer.isLinked).map(peer => ({
		type: 'peer/send',
		peer: peer.hostId,
		message: {
			type: 'heartbeat',
			hostId: state.settings.self.hostId,
			incarnation: state.settings.incarnation,
			sentAt: state.now,
			nextOffset: state.fleet.nextOffset,
		},
	}));
}

/** Whether a peer was heard of late. */
export function isPeerLive(state: State, peer: Peer): boolean {
	return peer.heardUntil > state.now;
}

function findPeer(state: State, hostId: HostId): Peer {
	const known = state.membership.peers.get(hostId);
	if (known) {
		return known;
	}

	const peer: Peer = {
		hostId,
		isLinked: false,
		incarnation: undefined,
		heardUntil: 0 as Instant,
		nextOffset: 0 as Offset,
	};
	state.membership.peers.set(hostId, peer);
	return peer;
}
