/** Detects pools with too few healthy hosts by the latest list of workers, and selects the outages to undo then. */
import {listPoolHosts} from '../pools/budget.js';
import type {FleetHost} from '../pools/state.js';
import type {PoolId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {listDownWorkers} from './workers.js';

/** Whether a host is down according to the log or the list of workers. */
export function isKnownDown(state: State, host: FleetHost): boolean {
	return host.isDown || listDownWorkers(state.planner.workers).has(host.hostId);
}

/** How many healthy hosts a pool is short of its minimum. */
export function countMissingHosts(state: State, pool: PoolId): number {
	const minimum = state.fleet.pools.get(pool)?.body.budget.minimumHealthyHosts ?? 0;
	const down = listDownWorkers(state.planner.workers);
	const serving = listPoolHosts(state.fleet, pool).filter(host => !host.chain && !host.isDown && !down.has(host.hostId));
	return Math.max(0, minimum - serving.length);
}

/** Whether a host whose drain has not ended is among those that its pool needs back: first those that are already returning, then those with the most running tasks. */
export function isNeededBack(state: State, host: FleetHost): boolean {
	const missing = countMissingHosts(state, host.pool);
	if (missing === 0 || isKnownDown(state, host)) {
		return false;
	}

	const tasks = new Map(state.planner.workers.map(worker => [worker.hostId, worker.runningTasks]));
	const candidates = listPoolHosts(state.fleet, host.pool)
		.filter(other => other.chain?.kind === 'outage' && other.chain.step === 'granted' && !isKnownDown(state, other))
		.toSorted((one, other) => Number(isReturning(state, other)) - Number(isReturning(state, one))
			|| (tasks.get(other.hostId) ?? 0) - (tasks.get(one.hostId) ?? 0)
			|| (one.hostId < other.hostId ? -1 : 1));
	return candidates.slice(0, missing).includes(host);
}

/** Whether a host's outage is being undone, so that it returns to service. */
export function isReturning(state: State, host: FleetHost): boolean {
	return host.chain !== undefined && state.planner.returningOutages.has(host.chain.operationId);
}
