/** Applies records about jobs to the fleet state: each record is validated at its log offset, then applied with the same result on every host. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import {accepted, rejectRecord, type BodyApplier} from '../fleet/outcomes.js';
import type {FleetState} from '../fleet/state.js';
import {validateTerm} from '../planner/lease.js';
import type {LoggedRecord} from '../types/records.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {
	AttemptEnd, JobAttemptEndBody, JobDomainBodies, JobLeasesBody,
} from './bodies.js';
import {
	hasRunLeft, validateAttempt, validateAttemptEnd, validateLeaseDeadline, validateNewJob, validatePark, type RejectReason,
} from './validation.js';
import {
	findOrCreateWorkerResults, isEnded, type Job, type JobStep,
} from './state.js';

/** How long ended jobs are kept, by the clock of the log. After that a job id may be reused. */
export const endedJobKeptMs = 24 * 3_600_000;
const expireIntervalMs = 600_000;

export const jobAppliers: {readonly [Name in keyof JobDomainBodies]: BodyApplier<JobDomainBodies[Name]>} = {
	job: (fleet, logged, body) => acceptUnless(validateNewJob(fleet, body), () => {
		expireEndedJobs(fleet, logged.at);
		fleet.jobs.jobs.set(body.jobId, createJob(logged, body));
	}),
	'job-cancel'(fleet, logged, body) {
		const job = fleet.jobs.jobs.get(body.jobId);
		return acceptUnless(job ? undefined : `job ${body.jobId} is unknown`, () => {
			cancelJob(job, logged.at);
		});
	},
	'job-attempt': (fleet, logged, body) => acceptUnless(validateAttempt(fleet, logged, body), () => {
		const job = fleet.jobs.jobs.get(body.jobId);
		if (job) {
			job.step = 'running';
			job.attempts = body.attempt;
			job.runs += job.hasCheckpoint ? 0 : 1;
			job.hasCheckpoint = false;
			job.current = {
				attempt: body.attempt, worker: body.worker, startedAt: logged.at, term: body.term, leaseUntil: body.leaseUntil,
			};
		}
	}),
	'job-leases': (fleet, logged, body) => acceptUnless(validateTerm(fleet, body.term) ?? validateLeaseDeadline(logged, body.leaseUntil), () => {
		renewLeases(fleet, logged, body);
	}),
	'job-attempt-end': (fleet, logged, body) => acceptUnless(validateAttemptEnd(fleet, logged, body), () => {
		endAttempt(fleet, logged.at, body);
	}),
	'job-park': (fleet, _logged, body) => acceptUnless(validatePark(fleet, body), () => {
		const job = fleet.jobs.jobs.get(body.jobId);
		if (job) {
			job.step = body.reason === undefined ? 'waiting' : 'parked';
			job.parkedReason = body.reason;
		}
	}),
	quota: (fleet, _logged, body) => acceptUnless(undefined, () => {
		fleet.jobs.quotas.set(body.team, body);
	}),
	'worker-set-aside': (fleet, _logged, body) => acceptUnless(validateTerm(fleet, body.term), () => {
		const results = findOrCreateWorkerResults(fleet.jobs, body.worker);
		results.setAsideUntil = body.until;
		results.failedJobs = [];
	}),
};

function acceptUnless(reason: RejectReason, apply: () => void): RecordOutcome {
	if (reason !== undefined) {
		return rejectRecord(reason);
	}

	apply();
	return accepted;
}

function createJob(logged: LoggedRecord, body: JobDomainBodies['job']): Job {
	return {
		offset: logged.offset,
		acceptedAt: logged.at,
		body,
		step: 'waiting',
		attempts: 0,
		runs: 0,
		hasCheckpoint: false,
		current: undefined,
		isCancelRequested: false,
		parkedReason: undefined,
		failedOn: [],
		endedAt: undefined,
	};
}

function cancelJob(job: Job | undefined, at: Instant): void {
	if (!job || isEnded(job)) {
		return;
	}

	job.isCancelRequested = true;
	if (job.step !== 'running') {
		endJob(job, 'cancelled', at);
	}
}

/** Renews only leases that have not expired: an attempt with an expired lease may already have been ended. */
function renewLeases(fleet: FleetState, logged: LoggedRecord, body: JobLeasesBody): void {
	for (const {jobId, attempt} of body.attempts) {
		const current = fleet.jobs.jobs.get(jobId)?.current;
		if (current?.attempt === attempt && current.leaseUntil >= logged.at) {
			current.leaseUntil = Math.max(current.leaseUntil, body.leaseUntil) as Instant;
		}
	}
}

type EndHandler = (job: Job) => void;

/** State changes by attempt outcome, made before the job's next step is chosen. */
const endHandlers: Readonly<Partial<Record<AttemptEnd, EndHandler>>> = {
	checkpointed(job) {
		job.hasCheckpoint = job.body.isResumable;
	},
	unstarted(job) {
		job.runs -= 1;
	},
};

function endAttempt(fleet: FleetState, at: Instant, body: JobAttemptEndBody): void {
	const job = fleet.jobs.jobs.get(body.jobId);
	if (!job?.current) {
		return;
	}

	updateWorkerResults(fleet, job, body.end, at);
	endHandlers[body.end]?.(job);
	job.current = undefined;
	const step = chooseNextStep(job, body.end);
	if (step === 'waiting') {
		job.step = step;
	} else {
		endJob(job, step, at);
	}
}

function chooseNextStep(job: Job, end: AttemptEnd): JobStep {
	if (end === 'succeeded') {
		return 'succeeded';
	}

	if (job.isCancelRequested) {
		return 'cancelled';
	}

	return hasRunLeft(job) ? 'waiting' : 'failed';
}

function endJob(job: Job, step: JobStep, at: Instant): void {
	job.step = step;
	job.endedAt = at;
	job.parkedReason = undefined;
}

function updateWorkerResults(fleet: FleetState, job: Job, end: AttemptEnd, at: Instant): void {
	if (!job.current) {
		return;
	}

	const results = findOrCreateWorkerResults(fleet.jobs, job.current.worker);
	if (end === 'succeeded') {
		results.failedJobs = [];
		results.lastSuccessAt = at;
	} else if (end === 'failed') {
		job.failedOn.push(job.current.worker);
		if (!results.failedJobs.includes(job.body.jobId)) {
			results.failedJobs.push(job.body.jobId);
		}
	}
}

/** Scans all jobs, so it runs only once per `expireIntervalMs`. */
function expireEndedJobs(fleet: FleetState, now: Instant): void {
	if (now < fleet.jobs.expireAt) {
		return;
	}

	fleet.jobs.expireAt = addMilliseconds(now, expireIntervalMs);
	for (const [jobId, job] of fleet.jobs.jobs) {
		if (job.endedAt !== undefined && job.endedAt + endedJobKeptMs < now) {
			fleet.jobs.jobs.delete(jobId);
		}
	}
}
