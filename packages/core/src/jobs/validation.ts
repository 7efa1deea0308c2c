/** Why a record about a job is void at its place in the log; undefined where it stands. */
import type {FleetState} from '../fleet/state.js';
import {validateTerm} from '../planner/lease.js';
import type {HostId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {
	JobAttemptBody, JobAttemptEndBody, JobBody, JobParkBody,
} from './bodies.js';
import {isWithinQuota, sumHeldByTeam} from './by-pool.js';
import type {Job} from './state.js';

/** A lease further ahead of the log's clock is void, so that a wrong clock cannot hold a job for long. */
export const maximumJobLeaseMs = 600_000;
/** Clocks of workers and of the log differ by less; a new attempt waits this long behind a lapsed lease. */
export const clockMarginMs = 2000;

/** A reason, or nothing. */
export type Judgement = string | undefined;

/** The first reason of several checks; later ones run only if earlier ones pass. */
function judgeInOrder(...checks: ReadonlyArray<() => Judgement>): Judgement {
	for (const check of checks) {
		const reason = check();
		if (reason !== undefined) {
			return reason;
		}
	}

	return undefined;
}

export function judgeNewJob(fleet: FleetState, body: JobBody): Judgement {
	if (fleet.jobs.jobs.has(body.jobId)) {
		return `job ${body.jobId} was accepted before`;
	}

	return fleet.pools.has(body.pool) ? undefined : `pool ${body.pool} is not in force`;
}

export function judgeAttempt(fleet: FleetState, logged: LoggedRecord, body: JobAttemptBody): Judgement {
	const job = fleet.jobs.jobs.get(body.jobId);
	if (!job) {
		return `job ${body.jobId} is unknown`;
	}

	return judgeInOrder(
		() => validateTerm(fleet, body.term),
		() => judgeTurn(job, body),
		() => judgeLease(logged, body.leaseUntil),
		() => judgeWorker(fleet, logged, job, body.worker),
		() => judgeQuota(fleet, job),
	);
}

function judgeTurn(job: Job, body: JobAttemptBody): Judgement {
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

/** Whether a lease's deadline is ahead of the log's clock, but not too far. */
export function judgeLease(logged: LoggedRecord, leaseUntil: number): Judgement {
	if (leaseUntil <= logged.at) {
		return 'the lease lapsed before it was recorded';
	}

	return leaseUntil > logged.at + maximumJobLeaseMs ? 'the lease is too far ahead of the clock of the log' : undefined;
}

function judgeWorker(fleet: FleetState, logged: LoggedRecord, job: Job, worker: HostId): Judgement {
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

function judgeQuota(fleet: FleetState, job: Job): Judgement {
	const {team} = job.body;
	const held = fleet.jobs.quotas.has(team) ? sumHeldByTeam(fleet).get(team) : undefined;
	return isWithinQuota(fleet, job, held) ? undefined : `team ${team} would pass its quota`;
}

export function judgeAttemptEnd(fleet: FleetState, logged: LoggedRecord, body: JobAttemptEndBody): Judgement {
	const current = fleet.jobs.jobs.get(body.jobId)?.current;
	if (current?.attempt !== body.attempt) {
		return `attempt ${body.attempt} of job ${body.jobId} is not running`;
	}

	if (body.end === 'lapsed' && logged.at <= current.leaseUntil + clockMarginMs) {
		return `attempt ${body.attempt} of job ${body.jobId} holds its lease`;
	}

	return validateTerm(fleet, body.term);
}

export function judgePark(fleet: FleetState, body: JobParkBody): Judgement {
	const needed = body.reason === undefined ? 'parked' : 'waiting';
	const step = fleet.jobs.jobs.get(body.jobId)?.step;
	return step === needed ? validateTerm(fleet, body.term) : `job ${body.jobId} is ${step ?? 'unknown'}`;
}
