/** Jobs as folded from the log. */
import type {HostId, JobId, TeamId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {JobBody, QuotaBody} from './bodies.js';

export type JobStep = 'waiting' | 'running' | 'parked' | 'succeeded' | 'failed' | 'cancelled';

/** The attempt that may be running now. Until `leaseUntil` (and a margin) no other may start. */
export type JobAttempt = {
	readonly attempt: number;
	readonly worker: HostId;
	readonly startedAt: Instant;
	/** Term of the planner that began it. */
	readonly term: number;
	leaseUntil: Instant;
};

export type Job = {
	readonly offset: Offset;
	readonly acceptedAt: Instant;
	readonly body: JobBody;
	step: JobStep;
	/** Attempts so far; the next one has the number behind it. */
	attempts: number;
	/** Runs begun afresh so far, never more than `allowedRuns`. */
	runs: number;
	/** The next attempt goes on from a checkpoint and is no new run. */
	hasCheckpoint: boolean;
	current: JobAttempt | undefined;
	isCancelRequested: boolean;
	parkedReason: string | undefined;
	/** Workers on which an attempt failed. */
	readonly failedOn: HostId[];
	endedAt: Instant | undefined;
};

/** What a worker made of its latest attempts. */
export type WorkerResults = {
	/** Jobs that failed on it since its last success. */
	failedJobs: JobId[];
	lastSuccessAt: Instant | undefined;
	setAsideUntil: Instant;
};

export type JobsState = {
	readonly jobs: Map<JobId, Job>;
	readonly quotas: Map<TeamId, QuotaBody>;
	readonly workers: Map<HostId, WorkerResults>;
	/** When to look again for ended jobs that may be forgotten, by the clock of the log. */
	expireAt: Instant;
};

/** A state without jobs. */
export function createJobsState(): JobsState {
	return {
		jobs: new Map(), quotas: new Map(), workers: new Map(), expireAt: 0 as Instant,
	};
}

/** The results of a worker, empty at first. */
export function findWorkerResults(jobs: JobsState, worker: HostId): WorkerResults {
	const known = jobs.workers.get(worker);
	if (known) {
		return known;
	}

	const results: WorkerResults = {failedJobs: [], lastSuccessAt: undefined, setAsideUntil: 0 as Instant};
	jobs.workers.set(worker, results);
	return results;
}

/** Whether a job has ended for good. */
export function isEnded(job: Job): boolean {
	return job.endedAt !== undefined;
}
