/** Handles links and heartbeats of the other entry hosts, and passes their messages to the domains' handlers. */
import {claimMessageHandlers} from '../claims/handlers.js';
import {
	acceptRecords, acceptStateChunk, answerRecordsRequest, compareHistory, reportDivergedHistory,
} from '../log/catch-up.js';
import {updateKnownSnapshot} from '../log/snapshots.js';
import {targetHandlers} from '../targets/handlers.js';
import {slotMessageHandlers} from '../slots/handlers.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant, type Offset} from '../types/time.js';
import {addDiscoveredHosts, tickEntryHosts, updateEntryHosts} from './entry-hosts.js';
import type {MembershipEvent} from './events.js';
import {heartbeatIntervalMs, sendHeartbeat, sendHeartbeats} from './heartbeats.js';
import {isPeerCompatible, keepLivePeers, updateLiveness} from './liveness.js';
import {
	protocolVersion, type PeerMessageOf, type PeerMessageType,
} from './messages.js';
import {createSend} from './send.js';
import type {Peer} from './state.js';

export {isPeerLive} from './liveness.js';

type MessageHandler<Type extends PeerMessageType> = (state: State, peer: Peer, message: PeerMessageOf<Type>) => Effect[];

const messageHandlers: {readonly [Type in PeerMessageType]: MessageHandler<Type>} = {
	...slotMessageHandlers,
	...claimMessageHandlers,
	hello: acceptHello,
	heartbeat(state, peer, message) {
		updateLiveness(state, peer, message);
		peer.nextOffset = message.nextOffset;
		if (message.snapshotOffset !== undefined && message.snapshotWrittenAt !== undefined) {
			updateKnownSnapshot(state, message.snapshotOffset, message.snapshotWrittenAt);
		}

		return compareHistory(state, peer, message);
	},
	pulse(state, peer, message) {
		if (peer.incarnation !== undefined) {
			updateLiveness(state, peer, {incarnation: peer.incarnation, sentAt: message.sentAt});
		}

		return [];
	},
	'hosts/request': (state, peer) => state.membership.hostsListedAt === undefined
		? []
		: [createSend(peer.hostId, {type: 'hosts/reply', hosts: [...state.targets.listedHosts], entryHosts: [...state.membership.linkedHosts]})],
	'hosts/reply': (state, _peer, message) => state.membership.hostsListedAt === undefined
		? [
			...targetHandlers['hosts/listed'](state, {type: 'hosts/listed', at: state.now, hosts: message.hosts}),
			...updateEntryHosts(state, message.hosts),
			...addDiscoveredHosts(state, message.entryHosts ?? []),
		]
		: [],
	'records/request': answerRecordsRequest,
	'records/reply': (state, _peer, message) => acceptRecords(state, message),
	'state/chunk': (state, _peer, message) => acceptStateChunk(state, message),
	'history/differs': (_state, peer, message) => [reportDivergedHistory(peer, message.offset)],
};

export const membershipHandlers: HandlerTable<MembershipEvent['type']> = {
	'peer/linked'(state, event) {
		const peer = findOrCreatePeer(state, event.peer);
		peer.isLinked = true;
		peer.gossipSentAt = 0 as Instant;
		return [createHello(state, peer), sendHeartbeat(state, peer)];
	},
	'peer/unlinked'(state, event) {
		findOrCreatePeer(state, event.peer).isLinked = false;
		return [];
	},
	'peer/message'(state, event) {
		const peer = findOrCreatePeer(state, event.peer);
		const handle = messageHandlers[event.message.type] as MessageHandler<PeerMessageType>;
		return isPeerCompatible(peer) || event.message.type === 'hello' ? handle(state, peer, event.message) : [];
	},
	'process/resumed'(state, event) {
		keepLivePeers(state, event.stoppedAt);
		return [];
	},
	'peer/message-unknown'(state, event) {
		state.membership.unknownMessageCount += 1;
		return [{
			type: 'metric/send', kind: 'count', name: 'peer.unknown_message', value: 1, tags: {peer: event.peer},
		}];
	},
};

/** Sends heartbeats when they are due. */
export function tickMembership(state: State): Effect[] {
	if (state.now < state.membership.nextHeartbeatAt) {
		return [];
	}

	state.membership.nextHeartbeatAt = addMilliseconds(state.now, heartbeatIntervalMs);
	return [...sendHeartbeats(state), ...tickEntryHosts(state)];
}

function acceptHello(state: State, peer: Peer, message: PeerMessageOf<'hello'>): Effect[] {
	peer.protocolVersion = message.protocolVersion;
	if (isPeerCompatible(peer)) {
		return message.self ? addDiscoveredHosts(state, [message.self]) : [];
	}

	// Until a hello with a compatible version arrives, all other messages of this peer are dropped.
	return [{
		type: 'line/write', level: 'error', event: 'peer of an unknown protocol version', fields: {peer: peer.hostId, protocolVersion: message.protocolVersion},
	}];
}

function createHello(state: State, peer: Peer): Effect {
	const {incarnation, self} = state.settings;
	return createSend(peer.hostId, {
		type: 'hello', hostId: self.hostId, incarnation, protocolVersion, self,
	});
}

function findOrCreatePeer(state: State, hostId: HostId): Peer {
	const known = state.membership.peers.get(hostId);
	if (known) {
		return known;
	}

	const peer: Peer = {
		hostId,
		isLinked: false,
		incarnation: undefined,
		protocolVersion: undefined,
		heardUntil: 0 as Instant,
		keptUntil: 0 as Instant,
		latestSentAt: undefined,
		nextOffset: 0 as Offset,
		leastDelayMs: undefined,
		lateSince: undefined,
		hasOtherHistory: false,
		heartbeatSentAt: 0 as Instant,
		told: undefined,
		toldAt: 0 as Instant,
		gossipSentAt: 0 as Instant,
	};
	state.membership.peers.set(hostId, peer);
	return peer;
}
