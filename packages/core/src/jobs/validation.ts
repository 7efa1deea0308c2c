/** Validates records about jobs at their log offset: each function returns the reason why a record is void, or undefined if it is valid. */
import type {FleetState} from '../fleet/state.js';
import {validateTerm} from '../planner/lease.js';
import type {HostId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {
	JobAttemptBody, JobAttemptEndBody, JobBody, JobParkBody,
} from './bodies.js';
import {isWithinQuota, sumReservedByTeam} from './by-pool.js';
import type {Job} from './state.js';

/** A record with a lease further ahead of the log's clock is void, so that a host with a wrong clock cannot block a job for long. */
export const maximumJobLeaseMs = 600_000;
/** Upper bound of the skew between the clocks of workers and of the log. A new attempt waits this long after a lease has expired. */
export const clockMarginMs = 2000;

/** Why a record is void; undefined if it is valid. */
export type RejectReason = string | undefined;

/** The reason of the first check that fails. Later checks run only if the earlier ones pass. */
function findFirstReason(...checks: ReadonlyArray<() => RejectReason>): RejectReason {
	for (const check of checks) {
		const reason = check();
		if (reason !== undefined) {
			return reason;
		}
	}

	return undefined;
}

export function validateNewJob(fleet: FleetState, body: JobBody): RejectReason {
	if (fleet.jobs.jobs.has(body.jobId)) {
		return `job ${body.jobId} was accepted before`;
	}

	return fleet.pools.has(body.pool) ? undefined : `pool ${body.pool} is not in force`;
}

export function validateAttempt(fleet: FleetState, logged: LoggedRecord, body: JobAttemptBody): RejectReason {
	const job = fleet.jobs.jobs.get(body.jobId);
	if (!job) {
		return `job ${body.jobId} is unknown`;
	}

	return findFirstReason(
		() => validateTerm(fleet, body.term),
		() => validateNextAttempt(job, body),
		() => validateLeaseDeadline(logged, body.leaseUntil),
		() => validateWorker(fleet, logged, job, body.worker),
		() => validateQuota(fleet, job),
	);
}

function validateNextAttempt(job: Job, body: JobAttemptBody): RejectReason {
	if (job.step !== 'waiting') {
		return `job ${body.jobId} is ${job.step}`;
	}

	if (body.attempt !== job.attempts + 1) {
		return `the next attempt of job ${body.jobId} is ${job.attempts + 1}`;
	}

	return hasRunLeft(job) ? undefined : `job ${body.jobId} has had its ${job.body.allowedRuns} runs`;
}

/** Whether another attempt would stay within the allowed runs. */
export function hasRunLeft(job: Job): boolean {
	return job.hasCheckpoint || job.runs < job.body.allowedRuns;
}

/** Checks that a lease's deadline is ahead of the log's clock, by at most `maximumJobLeaseMs`. */
export function validateLeaseDeadline(logged: LoggedRecord, leaseUntil: number): RejectReason {
	if (leaseUntil <= logged.at) {
		return 'the lease lapsed before it was recorded';
	}

	return leaseUntil > logged.at + maximumJobLeaseMs ? 'the lease is too far ahead of the clock of the log' : undefined;
}

function validateWorker(fleet: FleetState, logged: LoggedRecord, job: Job, worker: HostId): RejectReason {
	const host = fleet.hosts.get(worker);
	if (host?.pool !== job.body.pool) {
		return `worker ${worker} is not in pool ${job.body.pool}`;
	}

	if (host.chain !== undefined || host.isDown) {
		return `worker ${worker} is out`;
	}

	const results = fleet.jobs.workers.get(worker);
	return results && results.setAsideUntil > logged.at ? `worker ${worker} is set aside` : undefined;
}

function validateQuota(fleet: FleetState, job: Job): RejectReason {
	const {team} = job.body;
	const reserved = fleet.jobs.quotas.has(team) ? sumReservedByTeam(fleet).get(team) : undefined;
	return isWithinQuota(fleet, job, reserved) ? undefined : `team ${team} would pass its quota`;
}

export function validateAttemptEnd(fleet: FleetState, logged: LoggedRecord, body: JobAttemptEndBody): RejectReason {
	const current = fleet.jobs.jobs.get(body.jobId)?.current;
	if (current?.attempt !== body.attempt) {
		return `attempt ${body.attempt} of job ${body.jobId} is not running`;
	}

	if (body.end === 'lapsed' && logged.at <= current.leaseUntil + clockMarginMs) {
		return `attempt ${body.attempt} of job ${body.jobId} holds its lease`;
	}

	return validateTerm(fleet, body.term);
}

export function validatePark(fleet: FleetState, body: JobParkBody): RejectReason {
	const needed = body.reason === undefined ? 'parked' : 'waiting';
	const step = fleet.jobs.jobs.get(body.jobId)?.step;
	return step === needed ? validateTerm(fleet, body.term) : `job ${body.jobId} is ${step ?? 'unknown'}`;
}
