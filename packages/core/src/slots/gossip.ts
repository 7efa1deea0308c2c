/** Gossip to every peer: the loads of the sender's queues, leaving targets, and whether the sender is stopping. */
import type {Peer} from '../membership/state.js';
import {markLeaving} from '../targets/leaving.js';
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {everyZone, getRoutingPolicy} from '../requests/routing-policies.js';
import {estimateWaitMs} from './ask-queue.js';
import {countSlotsInUse, countSlotsPerTarget} from './capacity.js';
import type {SlotAsk, SlotMessageOf, ZoneLoad} from './messages.js';
import {getScopeKey, type StewardState} from './state.js';

const gossipIntervalMs = 250;
/** Unchanged gossip is repeated along with a heartbeat: if it has loads, before they expire at the receiver, otherwise less often. */
const loadRepeatMs = 500;
const emptyRepeatMs = 2000;
const loadTtlMs = 1000;

/** Sends gossip to every linked peer when it has changed or must be repeated. */
export function tickGossip(state: State): Effect[] {
	if (state.now < state.slots.nextGossipAt) {
		return [];
	}

	state.slots.nextGossipAt = addMilliseconds(state.now, gossipIntervalMs);
	const message: SlotMessageOf<'slot-gossip'> = {
		type: 'slot-gossip',
		isStopping: state.isStopping,
		loads: listOwnLoads(state),
		leaving: [...state.targets.leaving].map(([hostId, saidAt]) => ({hostId, saidAt})),
	};
	recordLoads(state, state.settings.self.hostId, message.loads);
	const text = JSON.stringify(message);
	const isChanged = text !== state.slots.gossipText;
	state.slots.gossipText = text;
	const repeatMs = message.loads.length > 0 ? loadRepeatMs : emptyRepeatMs;
	return [...state.membership.peers.values()]
		.filter(peer => peer.isLinked && peer.hostId !== state.settings.self.hostId && (isChanged || isRepeatDue(state, peer, repeatMs)))
		.map(peer => {
			peer.gossipSentAt = state.now;
			return {type: 'peer/send', peer: peer.hostId, message};
		});
}

function isRepeatDue(state: State, peer: Peer, repeatMs: number): boolean {
	return peer.heartbeatSentAt === state.now && addMilliseconds(peer.gossipSentAt, repeatMs) <= state.now;
}

/** Records the gossip of a peer. */
export function acceptGossip(state: State, peer: HostId, message: SlotMessageOf<'slot-gossip'>): Effect[] {
	if (message.isStopping) {
		state.slots.stoppingPeers.add(peer);
	} else {
		state.slots.stoppingPeers.delete(peer);
	}

	recordLoads(state, peer, message.loads);
	for (const {hostId, saidAt} of message.leaving) {
		markLeaving(state, hostId, saidAt);
	}

	return [];
}

function recordLoads(state: State, from: HostId, loads: readonly ZoneLoad[]): void {
	for (const load of loads) {
		state.slots.knownLoads.set(getScopeKey(load.service, load.availabilityZone), {
			load, from, validUntil: addMilliseconds(state.now, loadTtlMs),
		});
	}
}

/** The loads of the queues whose steward is currently this host. */
function listOwnLoads(state: State): ZoneLoad[] {
	const policy = getRoutingPolicy(state);
	return [...state.slots.stewards.values()]
		.filter(({service, availabilityZone}) => availabilityZone !== everyZone
			&& policy.chooseSteward(state, service, availabilityZone) === state.settings.self.hostId)
		.map(steward => describeLoad(state, steward));
}

function describeLoad(state: State, steward: StewardState): ZoneLoad {
	const usage = countSlotsInUse(state, steward);
	const {capacity} = usage;
	const slotsPerTarget = countSlotsPerTarget(state, steward);
	return {
		service: steward.service,
		availabilityZone: steward.availabilityZone,
		freeSlots: capacity - usage.used,
		queuedAsks: steward.queue.byId.size,
		waitMs: capacity === 0 ? 0 : estimateWaitMs(state, steward, createProbeAsk(state, steward), usage),
		usableTargets: slotsPerTarget === 0 ? 0 : capacity / slotsPerTarget,
	};
}

/** A quick ask with a deadline after all others, to estimate the wait at the end of the queue. */
function createProbeAsk(state: State, {service, availabilityZone}: StewardState): SlotAsk {
	return {
		askId: 'probe' as SlotAsk['askId'],
		service,
		availabilityZone,
		workClass: 'quick',
		team: 'probe' as SlotAsk['team'],
		deadline: addMilliseconds(state.now, Number.MAX_SAFE_INTEGER / 4),
		isIdempotent: true,
		avoid: [],
	};
}
