/** State of jobs, built by applying the log. */
import type {HostId, JobId, TeamId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {JobBody, QuotaBody} from './bodies.js';

export type JobStep = 'waiting' | 'running' | 'parked' | 'succeeded' | 'failed' | 'cancelled';

/** The attempt that may be running now. Until `leaseUntil` and a clock margin have passed, no other may start unless this one is confirmed to have ended. */
export type JobAttempt = {
	readonly attempt: number;
	readonly worker: HostId;
	readonly startedAt: Instant;
	/** Term of the planner that created the attempt. */
	readonly term: number;
	leaseUntil: Instant;
};

export type Job = {
	readonly offset: Offset;
	readonly acceptedAt: Instant;
	readonly body: JobBody;
	step: JobStep;
	/** Number of attempts so far, which is also the number of the latest attempt. */
	attempts: number;
	/** Number of runs started from the beginning so far, never more than `allowedRuns`. */
	runs: number;
	/** The next attempt resumes from a checkpoint and does not count as a new run. */
	hasCheckpoint: boolean;
	current: JobAttempt | undefined;
	isCancelRequested: boolean;
	parkedReason: string | undefined;
	/** Workers on which an attempt failed. */
	readonly failedOn: HostId[];
	endedAt: Instant | undefined;
};

/** Outcomes of a worker's latest attempts. */
export type WorkerResults = {
	/** Jobs that failed on it since its last success. */
	failedJobs: JobId[];
	lastSuccessAt: Instant | undefined;
	/** Until when the worker is quarantined; records, stored state and reasons call it "set aside". */
	setAsideUntil: Instant;
};

export type JobsState = {
	readonly jobs: Map<JobId, Job>;
	readonly quotas: Map<TeamId, QuotaBody>;
	readonly workers: Map<HostId, WorkerResults>;
	/** When to remove expired ended jobs next, by the clock of the log. */
	expireAt: Instant;
};

/** The initial state, without jobs. */
export function createJobsState(): JobsState {
	return {
		jobs: new Map(), quotas: new Map(), workers: new Map(), expireAt: 0 as Instant,
	};
}

/** The results of a worker; creates an empty entry if there is none. */
export function findOrCreateWorkerResults(jobs: JobsState, worker: HostId): WorkerResults {
	const known = jobs.workers.get(worker);
	if (known) {
		return known;
	}

	const results: WorkerResults = {failedJobs: [], lastSuccessAt: undefined, setAsideUntil: 0 as Instant};
	jobs.workers.set(worker, results);
	return results;
}

/** Whether a job has reached a final step. */
export function isEnded(job: Job): boolean {
	return job.endedAt !== undefined;
}
