/** Distinguishes workers on which all jobs fail from jobs that fail on all workers. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, PoolId, TeamId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {isEnded, type Job, type WorkerResults} from './state.js';

/** Number of different jobs that must have failed on a worker since its last success before it is quarantined. */
const minimumFailedJobs = 3;
/** Maximum share of a pool's workers in quarantine, so that faulty jobs cannot empty a pool. */
const maximumQuarantinedShare = 0.25;
/** A job that failed on one worker counts as healthy once it has run this long on another. */
const healthyRunMs = 10_000;

/** Workers to quarantine, based on how the jobs that failed on them did on other workers. */
export function listFailingWorkers(fleet: FleetState, now: Instant): HostId[] {
	const suspects = [...fleet.jobs.workers].filter(([, results]) => results.setAsideUntil <= now && results.failedJobs.length >= minimumFailedJobs);
	if (suspects.length === 0) {
		return [];
	}

	const successes = findLatestSuccesses(fleet);
	const failing = suspects
		.filter(([worker, results]) => countJobsAgainstWorker(fleet, results, successes, now) >= minimumFailedJobs && doOthersSucceed(fleet, worker))
		.map(([worker]) => worker);
	return selectWithinPoolLimits(fleet, failing, now);
}

/** The time of each team's latest successful job. */
function findLatestSuccesses(fleet: FleetState): Map<TeamId, Instant> {
	const latest = new Map<TeamId, Instant>();
	for (const {body, step, endedAt} of fleet.jobs.jobs.values()) {
		if (step === 'succeeded' && endedAt !== undefined && endedAt > (latest.get(body.team) ?? -1)) {
			latest.set(body.team, endedAt);
		}
	}

	return latest;
}

function countJobsAgainstWorker(fleet: FleetState, results: WorkerResults, successes: ReadonlyMap<TeamId, Instant>, now: Instant): number {
	return results.failedJobs
		.map(jobId => fleet.jobs.jobs.get(jobId))
		.filter(job => job !== undefined && isEvidenceAgainstWorker(job, results, successes, now))
		.length;
}

/**
 * Whether a job's failure on a worker is evidence against that worker. A job that failed on several workers is itself the
 * likely cause, and a job whose next run is still to come is no evidence yet. A job that ended without another run counts
 * if its team has had a success since this worker's last one.
 */
function isEvidenceAgainstWorker(job: Job, {lastSuccessAt}: WorkerResults, successes: ReadonlyMap<TeamId, Instant>, now: Instant): boolean {
	if (new Set(job.failedOn).size !== 1) {
		return false;
	}

	if (isEnded(job)) {
		return job.step === 'succeeded' || (successes.get(job.body.team) ?? -1) > (lastSuccessAt ?? -1);
	}

	return job.current !== undefined && !job.failedOn.includes(job.current.worker) && job.current.startedAt + healthyRunMs < now;
}

/** Whether another worker of the pool has had a success since this worker's last one. */
function doOthersSucceed(fleet: FleetState, worker: HostId): boolean {
	const pool = fleet.hosts.get(worker)?.pool;
	const own = fleet.jobs.workers.get(worker)?.lastSuccessAt ?? -1;
	return [...fleet.jobs.workers].some(([other, results]) =>
		other !== worker && fleet.hosts.get(other)?.pool === pool && (results.lastSuccessAt ?? -1) > own);
}

function selectWithinPoolLimits(fleet: FleetState, failing: readonly HostId[], now: Instant): HostId[] {
	const counts = new Map<PoolId, number>();
	return failing.filter(worker => {
		const pool = fleet.hosts.get(worker)?.pool;
		if (pool === undefined) {
			return false;
		}

		const count = (counts.get(pool) ?? countQuarantined(fleet, pool, now)) + 1;
		if (count > Math.max(1, countHosts(fleet, pool) * maximumQuarantinedShare)) {
			return false;
		}

		counts.set(pool, count);
		return true;
	});
}

function countQuarantined(fleet: FleetState, pool: PoolId, now: Instant): number {
	return [...fleet.jobs.workers].filter(([worker, results]) => results.setAsideUntil > now && fleet.hosts.get(worker)?.pool === pool).length;
}

function countHosts(fleet: FleetState, pool: PoolId): number {
	return [...fleet.hosts.values()].filter(host => host.pool === pool).length;
}
