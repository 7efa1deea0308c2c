/** Bodies of the records about jobs, their attempts and the teams' quotas. */
import {z} from 'zod';
import {termSchema} from '../pools/bodies.js';
import {
	hostIdSchema, jobIdSchema, poolIdSchema, teamIdSchema,
} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** Urgent jobs go first and may displace others; batch jobs give way first. */
export const jobClasses = ['urgent', 'normal', 'batch'] as const;
export type JobClass = typeof jobClasses[number];

const attemptSchema = z.number().int().positive();

/** A job as it is accepted. Sizes and run time are what the team declares; `allowedRuns` bounds how often it may start afresh. */
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
	/** A job that can go on from a checkpoint may be displaced without losing a run. */
	isResumable: z.boolean().default(false),
});
export type JobBody = z.infer<typeof jobBodyV1>;

/** Cancels a job; again changes nothing. */
export const jobCancelBodyV1 = z.strictObject({jobId: jobIdSchema});
export type JobCancelBody = z.infer<typeof jobCancelBodyV1>;

/** The next attempt of a job, on a worker, under a lease. */
export const jobAttemptBodyV1 = z.strictObject({
	jobId: jobIdSchema,
	attempt: attemptSchema,
	worker: hostIdSchema,
	leaseUntil: instantSchema,
	term: termSchema,
});
export type JobAttemptBody = z.infer<typeof jobAttemptBodyV1>;

/** Longer leases of running attempts, many in one record. */
export const jobLeasesBodyV1 = z.strictObject({
	leaseUntil: instantSchema,
	attempts: z.array(z.strictObject({jobId: jobIdSchema, attempt: attemptSchema})).min(1).max(1000),
	term: termSchema,
});
export type JobLeasesBody = z.infer<typeof jobLeasesBodyV1>;

/**
 * How an attempt ended. All but `lapsed` are confirmed by the platform; `lapsed` needs the lease's deadline and a margin to have passed.
 * `unstarted`: the worker refused it, so it never ran.
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

/** Parks a job that no worker can hold, or takes it up again (`reason` missing). */
export const jobParkBodyV1 = z.strictObject({
	jobId: jobIdSchema,
	reason: z.string().min(1).max(200).optional(),
	term: termSchema,
});
export type JobParkBody = z.infer<typeof jobParkBodyV1>;

/** What a team's running jobs may hold together. */
export const quotaBodyV1 = z.strictObject({
	team: teamIdSchema,
	cores: z.number().nonnegative(),
	accelerators: z.number().int().nonnegative(),
});
export type QuotaBody = z.infer<typeof quotaBodyV1>;

/** A worker that fails everything gets no attempts until then. */
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
