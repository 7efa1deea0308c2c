/** Counts a pool against its availability budget and judges whether one more host may leave service by plan. */
import type {PoolBody} from '../fleet/bodies.js';
import type {FleetState} from '../fleet/state.js';
import type {HostId, PoolId} from '../types/ids.js';
import type {FleetHost} from './state.js';

export type Budget = PoolBody['budget'];

/** How a pool stands. Hosts known down and hosts in a chain are not healthy; a released host no longer counts as out. */
export type PoolCount = {
	readonly members: number;
	readonly healthy: number;
	readonly out: number;
	readonly down: number;
};

/** What the fold does not hold yet but may: hosts seen down, and hosts whose leave is on its way to the log. */
export type Outlook = {
	readonly downHosts: ReadonlySet<HostId>;
	readonly leavingHosts: ReadonlySet<HostId>;
};

const noOutlook: Outlook = {downHosts: new Set(), leavingHosts: new Set()};

/** All hosts of a pool. */
export function listPoolHosts(fleet: FleetState, pool: PoolId): FleetHost[] {
	return [...fleet.hosts.values()].filter(host => host.pool === pool);
}

/** Whether a host is out of service by plan and charged to its pool's budget. */
export function isOutByPlan(host: FleetHost, outlook: Outlook = noOutlook): boolean {
	return host.chain === undefined ? outlook.leavingHosts.has(host.hostId) : host.chain.step !== 'released';
}

/** Whether a host serves its pool. */
export function isHealthy(host: FleetHost, outlook: Outlook = noOutlook): boolean {
	return !host.isDown && host.chain === undefined && !outlook.downHosts.has(host.hostId) && !outlook.leavingHosts.has(host.hostId);
}

/** Counts a pool. */
export function countPool(fleet: FleetState, pool: PoolId, outlook: Outlook = noOutlook): PoolCount {
	const hosts = listPoolHosts(fleet, pool);
	return {
		members: hosts.length,
		healthy: hosts.filter(host => isHealthy(host, outlook)).length,
		out: hosts.filter(host => isOutByPlan(host, outlook)).length,
		down: hosts.filter(host => host.isDown || outlook.downHosts.has(host.hostId)).length,
	};
}

/** Why a host may not leave service by plan now; nothing if it may. */
export function checkAvailabilityBudget(fleet: FleetState, host: FleetHost, outlook: Outlook = noOutlook): string | undefined {
	const budget = fleet.pools.get(host.pool)?.body.budget;
	if (!budget) {
		return `pool ${host.pool} has no budget in force`;
	}

	if (host.chain) {
		return `host ${host.hostId} is already out by plan`;
	}

	return judgeHealth(fleet, host, budget, outlook) ?? judgeOut(fleet, host, budget, outlook);
}

function judgeHealth(fleet: FleetState, host: FleetHost, budget: Budget, outlook: Outlook): string | undefined {
	const {healthy} = countPool(fleet, host.pool, outlook);
	const isBelow = isHealthy(host, outlook) && healthy - 1 < budget.minimumHealthyHosts;
	return isBelow ? `pool ${host.pool} has ${healthy} healthy hosts and must keep ${budget.minimumHealthyHosts}` : undefined;
}

function judgeOut(fleet: FleetState, host: FleetHost, budget: Budget, outlook: Outlook): string | undefined {
	const out = listPoolHosts(fleet, host.pool).filter(other => isOutByPlan(other, outlook));
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
