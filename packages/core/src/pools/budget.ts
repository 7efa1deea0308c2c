/** Counts a pool's hosts and checks against its availability budget whether one more host may be taken out of service by plan. */
import type {PoolBody} from '../fleet/bodies.js';
import type {FleetState} from '../fleet/state.js';
import type {HostId, PoolId} from '../types/ids.js';
import type {FleetHost} from './state.js';

export type Budget = PoolBody['budget'];

/**
 * Host counts of a pool. Hosts that are down or in a chain (a move or outage in progress) are not healthy. A host whose move has
 * reached the step `released` belongs to its old pool until it has joined the new one, but no longer counts as out.
 */
export type PoolCount = {
	readonly members: number;
	readonly healthy: number;
	readonly out: number;
	readonly down: number;
};

/** Changes that the log may bring but that are not in the fleet state yet: hosts observed down, and hosts proposed to go out of service. */
export type UnappliedChanges = {
	readonly downHosts: ReadonlySet<HostId>;
	readonly leavingHosts: ReadonlySet<HostId>;
};

const noUnappliedChanges: UnappliedChanges = {downHosts: new Set(), leavingHosts: new Set()};

/** All hosts of a pool. */
export function listPoolHosts(fleet: FleetState, pool: PoolId): FleetHost[] {
	return [...fleet.hosts.values()].filter(host => host.pool === pool);
}

/** Whether a host is out of service by plan and counts against its pool's budget. */
export function isOutByPlan(host: FleetHost, unapplied: UnappliedChanges = noUnappliedChanges): boolean {
	return host.chain === undefined ? unapplied.leavingHosts.has(host.hostId) : host.chain.step !== 'released';
}

/** Whether a host serves its pool. */
export function isHealthy(host: FleetHost, unapplied: UnappliedChanges = noUnappliedChanges): boolean {
	return !host.isDown && host.chain === undefined && !unapplied.downHosts.has(host.hostId) && !unapplied.leavingHosts.has(host.hostId);
}

/** Counts the hosts of a pool. */
export function countPool(fleet: FleetState, pool: PoolId, unapplied: UnappliedChanges = noUnappliedChanges): PoolCount {
	const hosts = listPoolHosts(fleet, pool);
	return {
		members: hosts.length,
		healthy: hosts.filter(host => isHealthy(host, unapplied)).length,
		out: hosts.filter(host => isOutByPlan(host, unapplied)).length,
		down: hosts.filter(host => host.isDown || unapplied.downHosts.has(host.hostId)).length,
	};
}

/** Returns why a host may not be taken out of service by plan now, or undefined if it may. */
export function checkAvailabilityBudget(fleet: FleetState, host: FleetHost, unapplied: UnappliedChanges = noUnappliedChanges): string | undefined {
	const budget = fleet.pools.get(host.pool)?.body.budget;
	if (!budget) {
		return `pool ${host.pool} has no budget in force`;
	}

	if (host.chain) {
		return `host ${host.hostId} is already out by plan`;
	}

	return checkHealthyMinimum(fleet, host, budget, unapplied) ?? checkOutLimits(fleet, host, budget, unapplied);
}

function checkHealthyMinimum(fleet: FleetState, host: FleetHost, budget: Budget, unapplied: UnappliedChanges): string | undefined {
	const {healthy} = countPool(fleet, host.pool, unapplied);
	const isBelow = isHealthy(host, unapplied) && healthy - 1 < budget.minimumHealthyHosts;
	return isBelow ? `pool ${host.pool} has ${healthy} healthy hosts and must keep ${budget.minimumHealthyHosts}` : undefined;
}

function checkOutLimits(fleet: FleetState, host: FleetHost, budget: Budget, unapplied: UnappliedChanges): string | undefined {
	const out = listPoolHosts(fleet, host.pool).filter(other => isOutByPlan(other, unapplied));
	const inZone = out.filter(other => other.availabilityZone === host.availabilityZone);
	const inRack = out.filter(other => isSameRack(other, host));
	const limits = [
		{name: 'the pool', out: out.length, limit: budget.maximumHostsOut},
		{name: `zone ${host.availabilityZone}`, out: inZone.length, limit: budget.maximumHostsOutPerZone},
		{name: `rack ${host.rack}`, out: inRack.length, limit: budget.maximumHostsOutPerRack},
	];
	const reached = limits.find(({out: count, limit}) => count >= limit);
	return reached && `${reached.out} hosts of ${reached.name} are out by plan, as many as may be`;
}

/** Whether two hosts share a rack. Rack names are only unique within an availability zone. */
export function isSameRack(one: FleetHost, other: FleetHost): boolean {
	return one.rack === other.rack && one.availabilityZone === other.availabilityZone;
}
