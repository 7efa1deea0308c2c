/** Groups workers by pool and sums reserved resources by team, each in one pass, so that planning stays linear in jobs and workers. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, PoolId, TeamId} from '../types/ids.js';
import type {Job} from './state.js';

/** Total declared resources of a team's running jobs. */
export type ReservedResources = {cores: number; accelerators: number};

/** Groups items by the pool of their worker. Items of unknown workers are left out. */
export function groupByPool<Item extends {readonly worker: HostId}>(fleet: FleetState, items: readonly Item[]): Map<PoolId, Item[]> {
	const byPool = new Map<PoolId, Item[]>();
	for (const item of items) {
		const pool = fleet.hosts.get(item.worker)?.pool;
		if (pool === undefined) {
			continue;
		}

		const ofPool = byPool.get(pool) ?? [];
		ofPool.push(item);
		byPool.set(pool, ofPool);
	}

	return byPool;
}

/** Reserved resources by team; teams without running jobs are left out. */
export function sumReservedByTeam(fleet: FleetState): Map<TeamId, ReservedResources> {
	const byTeam = new Map<TeamId, ReservedResources>();
	for (const {body, step} of fleet.jobs.jobs.values()) {
		if (step === 'running') {
			const reserved = byTeam.get(body.team) ?? {cores: 0, accelerators: 0};
			reserved.cores += body.cores;
			reserved.accelerators += body.accelerators;
			byTeam.set(body.team, reserved);
		}
	}

	return byTeam;
}

/** Whether a job may start without its team exceeding its quota, given the team's reserved resources. A team without a quota has no limit. */
export function isWithinQuota(fleet: FleetState, {body}: Job, reserved: ReservedResources | undefined): boolean {
	const quota = fleet.jobs.quotas.get(body.team);
	const {cores, accelerators} = reserved ?? {cores: 0, accelerators: 0};
	return !quota || (cores + body.cores <= quota.cores && accelerators + body.accelerators <= quota.accelerators);
}
