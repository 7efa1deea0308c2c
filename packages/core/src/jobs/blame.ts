/** Tells workers that fail everything from jobs that fail everywhere. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, JobId, PoolId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** So many different jobs must have failed on a worker without a success between. */
const leastFailedJobs = 3;
/** At most this share of a pool's workers is set aside, so that bad jobs cannot empty a pool. */
const largestShareSetAside = 0.25;

/** Workers that should get no attempts for a while, judged against what others made of the same jobs. */
export function listFailingWorkers(fleet: FleetState, now: Instant): HostId[] {
	const failing = [...fleet.jobs.workers]
		.filter(([, results]) => results.setAsideUntil <= now)
		.filter(([worker, results]) => countBlamingJobs(fleet, results.failedJobs) >= leastFailedJobs && doOthersSucceed(fleet, worker))
		.map(([worker]) => worker);
	return limitByPool(fleet, failing, now);
}

/** Jobs that failed on one worker only: a job that failed on several blames itself. */
function countBlamingJobs(fleet: FleetState, failedJobs: readonly JobId[]): number {
	return failedJobs.filter(jobId => new Set(fleet.jobs.jobs.get(jobId)?.failedOn).size === 1).length;
}

/** Whether another worker of the pool has succeeded since this one last did. */
function doOthersSucceed(fleet: FleetState, worker: HostId): boolean {
	const pool = fleet.hosts.get(worker)?.pool;
	const own = fleet.jobs.workers.get(worker)?.lastSuccessAt ?? -1;
	return [...fleet.jobs.workers].some(([other, results]) =>
		other !== worker && fleet.hosts.get(other)?.pool === pool && (results.lastSuccessAt ?? -1) > own);
}

function limitByPool(fleet: FleetState, failing: readonly HostId[], now: Instant): HostId[] {
	const counts = new Map<PoolId, number>();
	return failing.filter(worker => {
		const pool = fleet.hosts.get(worker)?.pool;
		if (pool === undefined) {
			return false;
		}

		const count = (counts.get(pool) ?? countSetAside(fleet, pool, now)) + 1;
		if (count > Math.max(1, countHosts(fleet, pool) * largestShareSetAside)) {
			return false;
		}

		counts.set(pool, count);
		return true;
	});
}

function countSetAside(fleet: FleetState, pool: PoolId, now: Instant): number {
	return [...fleet.jobs.workers].filter(([worker, results]) => results.setAsideUntil > now && fleet.hosts.get(worker)?.pool === pool).length;
}

function countHosts(fleet: FleetState, pool: PoolId): number {
	return [...fleet.hosts.values()].filter(host => host.pool === pool).length;
}
