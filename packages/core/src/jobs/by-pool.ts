/** Workers by pool and held resources by team, each in one pass, so that planning stays linear in jobs and workers. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, PoolId, TeamId} from '../types/ids.js';
import type {Job} from './state.js';

/** What a team's running jobs hold, as declared. */
export type Held = {cores: number; accelerators: number};

/** What belongs to the workers of each pool. */
export function listByPool<Item extends {readonly worker: HostId}>(fleet: FleetState, items: readonly Item[]): Map<PoolId, Item[]> {
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

/** What the running jobs of each team hold; teams without any are left out. */
export function sumHeldByTeam(fleet: FleetState): Map<TeamId, Held> {
	const byTeam = new Map<TeamId, Held>();
	for (const {body, step} of fleet.jobs.jobs.values()) {
		if (step === 'running') {
			const held = byTeam.get(body.team) ?? {cores: 0, accelerators: 0};
			held.cores += body.cores;
			held.accelerators += body.accelerators;
			byTeam.set(body.team, held);
		}
	}

	return byTeam;
}

/** Whether a job's start would keep its team within its quota, with what the team's running jobs hold; without a quota all may start. */
export function isWithinQuota(fleet: FleetState, {body}: Job, held: Held | undefined): boolean {
	const quota = fleet.jobs.quotas.get(body.team);
	const {cores, accelerators} = held ?? {cores: 0, accelerators: 0};
	return !quota || (cores + body.cores <= quota.cores && accelerators + body.accelerators <= quota.accelerators);
}
