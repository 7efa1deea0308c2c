/** How many slots of a queue are in use, and how many each work class may use. */
import {
	everyZone, getRoutingPolicy, listTargets, type FreeTarget,
} from '../requests/routing-policies.js';
import {isTargetUsable} from '../targets/health.js';
import type {HostId} from '../types/ids.js';
import type {WorkClass} from '../types/requests.js';
import type {State} from '../types/state.js';
import type {StewardState} from './state.js';

/** One in this many slots of a queue is reserved for quick work. */
const quickReserveParts = 8;
const longShareParts = 2;
/** Number of entry hosts that share a target's connections: the largest number in use today and one being replaced. */
const connectionShares = 10;

export type SlotUsage = {
	readonly byTarget: ReadonlyMap<HostId, number>;
	readonly byClass: Readonly<Record<WorkClass, number>>;
	/** Granted slots of all targets and classes. */
	readonly used: number;
	/** Slots of all usable targets, in use or free. */
	readonly capacity: number;
};

/** Counts the grants of a queue. */
export function countSlotsInUse(state: State, steward: StewardState): SlotUsage {
	const byTarget = new Map<HostId, number>();
	const byClass = {quick: 0, heavy: 0, long: 0};
	for (const grant of steward.grants.values()) {
		byTarget.set(grant.target, (byTarget.get(grant.target) ?? 0) + 1);
		byClass[grant.ask.workClass] += 1;
	}

	return {
		byTarget, byClass, used: steward.grants.size, capacity: countSlots(state, steward),
	};
}

/** Slots of one target that a queue may use. */
export function countSlotsPerTarget(state: State, steward: StewardState): number {
	const service = state.fleet.services.get(steward.service);
	return getRoutingPolicy(state).countSlots(state, service?.body.slotsPerRunner ?? 0);
}

/** Slots of all usable targets of a queue. */
export function countSlots(state: State, steward: StewardState): number {
	const targets = listTargets(state, steward.service, steward.availabilityZone);
	return targets.filter(target => isTargetUsable(state, target)).length * countSlotsPerTarget(state, steward);
}

/** The maximum number of slots that a class and all slower classes together may use. */
export function countSlotsOfClass(slots: number, workClass: WorkClass): number {
	const withoutReserve = slots > 1 ? slots - Math.ceil(slots / quickReserveParts) : slots;
	const limits = {quick: slots, heavy: withoutReserve, long: Math.max(1, Math.floor(slots / longShareParts))};
	return limits[workClass];
}

/** Slots in use by a class and all slower classes. */
export function countSlotsHeldByClass(usage: SlotUsage, workClass: WorkClass): number {
	const {heavy, long} = usage.byClass;
	const held = {quick: usage.used, heavy: heavy + long, long};
	return held[workClass];
}

/** Usable targets that have a free slot, in the order of the routing policy. */
export function listFreeTargets(state: State, steward: StewardState, usage: SlotUsage): FreeTarget[] {
	const slotsPerTarget = countSlotsPerTarget(state, steward);
	return listTargets(state, steward.service, steward.availabilityZone)
		.map(target => ({target, slotsInUse: usage.byTarget.get(target.listed.hostId) ?? 0}))
		.filter(({target, slotsInUse}) =>
			isTargetUsable(state, target) && slotsInUse < (target.isOnProbation ? 1 : slotsPerTarget))
		.toSorted(getRoutingPolicy(state).compare);
}

/** Connections that one entry host may have to one target. */
export function countConnectionsPerHost(connectionsPerRunner: number): number {
	return Math.max(1, Math.floor(connectionsPerRunner / connectionShares));
}

/** Whether a holder has fewer slots of a target than it may have connections. */
export function hasConnectionLeft(state: State, steward: StewardState, holder: HostId, target: HostId): boolean {
	const service = state.fleet.services.get(steward.service);
	const limit = countConnectionsPerHost(service?.body.connectionsPerRunner ?? 0);
	let held = 0;
	for (const grant of steward.grants.values()) {
		held += grant.holder === holder && grant.target === target ? 1 : 0;
	}

	return held < limit;
}

/** Whether a service has targets in other zones that are not quarantined, according to the gossip of their stewards. */
export function hasUsableTargetElsewhere(state: State, steward: StewardState): boolean {
	if (steward.availabilityZone === everyZone) {
		return false;
	}

	return [...state.slots.knownLoads.values()].some(({load, validUntil}) =>
		load.service === steward.service && load.availabilityZone !== steward.availabilityZone
		&& load.usableTargets > 0 && validUntil > state.now);
}
