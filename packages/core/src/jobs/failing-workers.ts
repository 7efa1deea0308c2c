/** Tells workers that fail everything from jobs that fail everywhere. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, PoolId, TeamId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {isEnded, type Job, type WorkerResults} from './state.js';

/** So many different jobs must have failed on a worker without a success between. */
const leastFailedJobs = 3;
/** At most this share of a pool's workers is set aside, so that bad jobs cannot empty a pool. */
const largestShareSetAside = 0.25;
/** A job that failed on one worker and runs on another for so long is taken to be good. */
const soundRunMs = 10_000;

/** Workers that should get no attempts for a while, judged against what others made of the same jobs. */
export function listFailingWorkers(fleet: FleetState, now: Instant): HostId[] {
	const suspects = [...fleet.jobs.workers].filter(([, results]) => results.setAsideUntil <= now && results.failedJobs.length >= leastFailedJobs);
	if (suspects.length === 0) {
		return [];
	}

	const successes = findLatestSuccesses(fleet);
	const failing = suspects
		.filter(([worker, results]) => countBlamingJobs(fleet, results, successes, now) >= leastFailedJobs && doOthersSucceed(fleet, worker))
		.map(([worker]) => worker);
	return selectByPool(fleet, failing, now);
}

/** When a job of each team last succeeded. */
function findLatestSuccesses(fleet: FleetState): Map<TeamId, Instant> {
	const latest = new Map<TeamId, Instant>();
	for (const {body, step, endedAt} of fleet.jobs.jobs.values()) {
		if (step === 'succeeded' && endedAt !== undefined && endedAt > (latest.get(body.team) ?? -1)) {
			latest.set(body.team, endedAt);
		}
	}

	return latest;
}

function countBlamingJobs(fleet: FleetState, results: WorkerResults, successes: ReadonlyMap<TeamId, Instant>, now: Instant): number {
	return results.failedJobs
		.map(jobId => fleet.jobs.jobs.get(jobId))
		.filter(job => job !== undefined && isBlaming(job, results, successes, now))
		.length;
}

/**
 * Whether a job that failed on a worker tells against the worker. One that failed on several tells against itself, and one
 * whose next run is to come tells nothing yet. One that had no other run counts if its team succeeds elsewhere since.
 */
function isBlaming(job: Job, {lastSuccessAt}: WorkerResults, successes: ReadonlyMap<TeamId, Instant>, now: Instant): boolean {
	if (new Set(job.failedOn).size !== 1) {
		return false;
	}

	if (isEnded(job)) {
		return job.step === 'succeeded' || (successes.get(job.body.team) ?? -1) > (lastSuccessAt ?? -1);
	}

	return job.current !== undefined && !job.failedOn.includes(job.current.worker) && job.current.startedAt + soundRunMs < now;
}

/** Whether another worker of the pool has succeeded since this one last did. */
function doOthersSucceed(fleet: FleetState, worker: HostId): boolean {
	const pool = fleet.hosts.get(worker)?.pool;
	const own = fleet.jobs.workers.get(worker)?.lastSuccessAt ?? -1;
	return [...fleet.jobs.workers].some(([other, results]) =>
		other !== worker && fleet.hosts.get(other)?.pool === pool && (results.lastSuccessAt ?? -1) > own);
}

function selectByPool(fleet: FleetState, failing: readonly HostId[], now: Instant): HostId[] {
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
