/** Policies for sharing slots and choosing a target, by name. All but `steward` are baselines for benchmarks. */
import {chooseSteward, listLiveEntryHosts} from '../slots/entry-hosts.js';
import type {Target} from '../targets/state.js';
import type {AvailabilityZone, HostId, ServiceId} from '../types/ids.js';
import type {State} from '../types/state.js';

/** The zone of a queue that covers all zones. Under the local policies each entry host has such a queue of its own. */
export const everyZone = 'every-zone' as AvailabilityZone;

/** A target that has a free slot, and the known number of its slots in use. */
export type FreeTarget = {readonly target: Target; readonly slotsInUse: number};

export type RoutingPolicy = {
	/** The zones that have a queue for a service. */
	readonly listZones: (state: State, service: ServiceId) => AvailabilityZone[];
	/** The entry host that manages the queue and grants its slots. */
	readonly chooseSteward: (state: State, service: ServiceId, availabilityZone: AvailabilityZone) => HostId;
	/** How many slots of one target the queue may use. */
	readonly countSlots: (state: State, slotsPerRunner: number) => number;
	/** Compares targets that have a free slot; the lowest is chosen. */
	readonly compare: (a: FreeTarget, b: FreeTarget) => number;
};

const compareLastGrants = (a: FreeTarget, b: FreeTarget) => a.target.lastGrant - b.target.lastGrant;
const compareSlotsInUse = (a: FreeTarget, b: FreeTarget) => (a.slotsInUse - b.slotsInUse) || compareLastGrants(a, b);

const localPolicy: RoutingPolicy = {
	listZones: () => [everyZone],
	chooseSteward: state => state.settings.self.hostId,
	countSlots: (_state, slotsPerRunner) => slotsPerRunner,
	compare: compareSlotsInUse,
};

export const routingPolicies: Readonly<Record<string, RoutingPolicy>> = {
	steward: {
		listZones: listTargetZones,
		chooseSteward,
		countSlots: (_state, slotsPerRunner) => slotsPerRunner,
		compare: compareSlotsInUse,
	},
	'round-robin': {...localPolicy, compare: compareLastGrants},
	'least-outstanding': localPolicy,
	'fixed-shares': {
		...localPolicy,
		countSlots: (state, slotsPerRunner) => Math.max(1, Math.floor(slotsPerRunner / listLiveEntryHosts(state).length)),
	},
};

/** The policy configured for this host. */
export function getRoutingPolicy(state: State): RoutingPolicy {
	return routingPolicies[state.settings.routingPolicy] ?? localPolicy;
}

/** The targets of a service in an availability zone, including leaving ones. */
export function listTargets(state: State, service: ServiceId, availabilityZone: AvailabilityZone): Target[] {
	return [...state.targets.targets.values()].filter(({listed}) =>
		listed.service === service && (availabilityZone === everyZone || listed.availabilityZone === availabilityZone));
}

function listTargetZones(state: State, service: ServiceId): AvailabilityZone[] {
	return [...new Set(listTargets(state, service, everyZone).map(target => target.listed.availabilityZone))];
}
