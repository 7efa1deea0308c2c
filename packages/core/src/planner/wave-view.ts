/** The view of the fleet that a wave's policy works on, and the order in which hosts are due. */
import type {Budget} from '../pools/budget.js';
import type {FleetState} from '../fleet/state.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';
import {getWaveStatus, type Wave} from '../waves/state.js';
import {wavePolicies} from './policies.js';
import {estimateLogTime} from './leadership.js';

export type WaveView = {
	readonly fleet: FleetState;
	readonly wave: Wave;
	readonly budget: Budget;
	/** By the clock of the log. */
	readonly now: Instant;
	/** Number of tasks on each host that must be allowed to finish: all running tasks except those of resumable jobs. */
	readonly nonResumableTasks: ReadonlyMap<HostId, number>;
};

/** The views of all active waves. No outages are planned for other waves. */
export function listWaveViews(state: State): WaveView[] {
	const now = estimateLogTime(state);
	const active = [...state.fleet.waves.values()].filter(wave => getWaveStatus(state.fleet, wave, now) === 'active');
	const nonResumableTasks = active.length > 0 ? countNonResumableTasks(state) : new Map<HostId, number>();
	return active.flatMap(wave => {
		const budget = state.fleet.pools.get(wave.body.pool)?.body.budget;
		return budget
			? [{
				fleet: state.fleet, wave, budget, now, nonResumableTasks,
			}]
			: [];
	});
}

/** Position of each waiting host in the order of its active wave, starting at 0. Waves whose policy does not influence placement are left out. */
export function listDueRanks(state: State): ReadonlyMap<HostId, number> {
	const ranks = new Map<HostId, number>();
	for (const view of listWaveViews(state)) {
		const policy = wavePolicies[view.wave.body.policy];
		const order = policy.isPlacementSteered ? policy.listInOrder(view) : [];
		for (const [rank, {hostId}] of order.entries()) {
			ranks.set(hostId, Math.min(rank, ranks.get(hostId) ?? rank));
		}
	}

	return ranks;
}

function countNonResumableTasks(state: State): Map<HostId, number> {
	const resumable = countResumableJobs(state);
	return new Map(state.planner.workers.map(({hostId, runningTasks}) => [hostId, Math.max(0, runningTasks - (resumable.get(hostId) ?? 0))]));
}

function countResumableJobs(state: State): Map<HostId, number> {
	const counts = new Map<HostId, number>();
	for (const {body, current} of state.fleet.jobs.jobs.values()) {
		if (current && body.isResumable) {
			counts.set(current.worker, (counts.get(current.worker) ?? 0) + 1);
		}
	}

	return counts;
}
