/** What a record of the store must hold to be used. Fields that a newer version has added are kept. */
import {maxRefusedJobs} from '@rhubarblever/core/scheduler';
import {z} from 'zod';

const amount = z.number().nonnegative();
const count = z.number().int().nonnegative();

const resources = z.looseObject({cpu: amount, memoryMb: amount, gpu: amount});

const step = z.looseObject({
	count: z.number().int().positive(), need: resources, estimateMs: amount, dependsOn: z.array(count), requiredLabel: z.string(), dataRack: z.string(), maxPerWorker: amount, latencyTargetMs: amount, maxUnavailable: amount,
});

export const jobSchema = z.looseObject({
	jobId: z.string().min(1),
	queue: z.string(),
	account: z.string().optional(),
	pool: z.string(),
	spec: z.string(),
	steps: z.array(step),
	runCount: count,
	firstRunAt: z.number(),
	intervalMs: amount,
	sentAt: z.number().optional(),
});

/** Holds at most as many jobs as one host writes in a record. */
export const refusalsSchema = z.tuple([z.number(), z.array(z.string().min(1)).max(maxRefusedJobs), z.array(amount).max(maxRefusedJobs)]);

const openLeases = z.looseObject({
	workers: z.array(z.looseObject({workerId: z.string(), leaseMs: amount})),
	unconfirmedTasks: z.array(z.string()),
});

export const leaseSchema = z.looseObject({
	holder: z.string(), token: count, isReleased: z.boolean(), capacityShortfall: z.number().min(0).max(1).optional(), openLeases: openLeases.optional(),
});

export const loadSchema = z.looseObject({
	token: count,
	computedAt: z.number(),
	waits: z.array(z.looseObject({
		pool: z.string(), priority: z.number(), startMs: amount, backlogMs: amount, delayMs: amount, excessMs: amount, room: resources.optional(),
	})),
	shares: z.array(z.looseObject({account: z.string(), within: amount})),
});

export const wavesSchema = z.array(z.looseObject({wave: z.number(), doneMachines: z.array(z.string()), isCompleted: z.boolean()}));

export const machineIdsSchema = z.array(z.string());

/** Digests of API keys, never the keys themselves. */
const account = z.looseObject({
	name: z.string(), weight: amount, quota: resources, keyDigests: z.array(z.string()),
});

export const configSchema = z.looseObject({
	version: z.number(),
	queues: z.array(z.looseObject({
		name: z.string(), host: z.string(), pathPrefix: z.string(), pool: z.string(), priority: z.number(), maxAttempts: z.number(), stretch: z.number(), latencyTargetMs: z.number(), isPublic: z.boolean().optional(),
	})),
	pools: z.array(z.looseObject({name: z.string(), isSpare: z.boolean()})),
	accounts: z.array(account).optional(),
});

const crash = z.tuple([count, z.string(), z.number(), z.number(), z.boolean(), z.enum(['sole', 'shared', 'slight'])]);

/** Records of earlier versions, and rows without crashes, end with the checkpoint. */
const row = z.tuple([count, count, count, z.enum(['waiting', 'placed', 'done']), count, count, z.string(), z.number(), z.string()]).rest(z.array(crash));

export const rowsSchema = z.array(row);

/** A job whose rows are stored in parts has the number of rows of a part in their place. */
export const progressSchema = z.tuple([
	z.enum(['queued', 'running', 'completed', 'failed']), z.union([z.array(count), z.array(z.tuple([count, count]))]), z.number(), z.union([rowsSchema, count.positive()]),
]);

/** Version of the format of the record of run times; it changes with the limits of the buckets. */
export const runTimesFormat = 1;

/** Higher numbers of runs are not valid. */
const maxRuns = 1_000_000_000;
const buckets = z.array(count.max(maxRuns));

export const runTimesSchema = z.tuple([z.literal(runTimesFormat), z.array(z.tuple([z.string(), z.number().int(), count.max(maxRuns), amount, amount, buckets, buckets]))]);
