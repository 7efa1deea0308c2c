/** Bodies of the records about jobs, their attempts and the teams' quotas. */
import {z} from 'zod';
import {termSchema} from '../pools/bodies.js';
import {
	hostIdSchema, jobIdSchema, poolIdSchema, teamIdSchema,
} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** Highest priority first. Urgent jobs are placed first and may displace others; batch jobs are displaced first. */
export const jobClasses = ['urgent', 'normal', 'batch'] as const;
export type JobClass = typeof jobClasses[number];

const attemptSchema = z.number().int().positive();

/** A job as accepted. The team declares its size and run time; `allowedRuns` limits how often it may start from the beginning. */
export const jobBodyV1 = z.strictObject({
	jobId: jobIdSchema,
	pool: poolIdSchema,
	team: teamIdSchema,
	jobClass: z.enum(jobClasses),
	cores: z.number().positive(),
	memoryBytes: z.number().nonnegative(),
	accelerators: z.number().int().nonnegative().default(0),
	declaredRunMs: z.number().int().positive(),
	allowedRuns: z.number().int().min(1).max(100),
	/** The job can resume from a checkpoint, so displacing it does not use up a run. */
	isResumable: z.boolean().default(false),
});
export type JobBody = z.infer<typeof jobBodyV1>;

/** Cancels a job. Idempotent. */
export const jobCancelBodyV1 = z.strictObject({jobId: jobIdSchema});
export type JobCancelBody = z.infer<typeof jobCancelBodyV1>;

/** Starts the next attempt of a job on a worker, with a lease. */
export const jobAttemptBodyV1 = z.strictObject({
	jobId: jobIdSchema,
	attempt: attemptSchema,
	worker: hostIdSchema,
	leaseUntil: instantSchema,
	term: termSchema,
});
export type JobAttemptBody = z.infer<typeof jobAttemptBodyV1>;

/** Renews the leases of many running attempts in one record. */
export const jobLeasesBodyV1 = z.strictObject({
	leaseUntil: instantSchema,
	attempts: z.array(z.strictObject({jobId: jobIdSchema, attempt: attemptSchema})).min(1).max(1000),
	term: termSchema,
});
export type JobLeasesBody = z.infer<typeof jobLeasesBodyV1>;

/**
 * The outcome of an attempt. The platform confirms all but `lapsed`, which requires that the lease's deadline and a clock margin have passed.
 * `unstarted`: the attempt never ran, because the worker refused it or the job was cancelled before the start was called.
 */
export const attemptEnds = ['succeeded', 'failed', 'stopped', 'checkpointed', 'lost', 'lapsed', 'unstarted'] as const;
export type AttemptEnd = typeof attemptEnds[number];

export const jobAttemptEndBodyV1 = z.strictObject({
	jobId: jobIdSchema,
	attempt: attemptSchema,
	end: z.enum(attemptEnds),
	term: termSchema,
});
export type JobAttemptEndBody = z.infer<typeof jobAttemptEndBodyV1>;

/** Parks a job that fits no worker, or returns it to the waiting jobs (without a `reason`). */
export const jobParkBodyV1 = z.strictObject({
	jobId: jobIdSchema,
	reason: z.string().min(1).max(200).optional(),
	term: termSchema,
});
export type JobParkBody = z.infer<typeof jobParkBodyV1>;

/** Limits the total declared resources of a team's running jobs. */
export const quotaBodyV1 = z.strictObject({
	team: teamIdSchema,
	cores: z.number().nonnegative(),
	accelerators: z.number().int().nonnegative(),
});
export type QuotaBody = z.infer<typeof quotaBodyV1>;

/** Quarantines a worker on which jobs keep failing: it gets no attempts until then. */
export const workerSetAsideBodyV1 = z.strictObject({
	worker: hostIdSchema,
	until: instantSchema,
	term: termSchema,
});
export type WorkerSetAsideBody = z.infer<typeof workerSetAsideBodyV1>;

/** The bodies of this domain by schema name. */
export type JobDomainBodies = {
	readonly job: JobBody;
	readonly 'job-cancel': JobCancelBody;
	readonly 'job-attempt': JobAttemptBody;
	readonly 'job-leases': JobLeasesBody;
	readonly 'job-attempt-end': JobAttemptEndBody;
	readonly 'job-park': JobParkBody;
	readonly quota: QuotaBody;
	readonly 'worker-set-aside': WorkerSetAsideBody;
};
