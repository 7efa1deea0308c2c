/** Tasks as the platform's interface has them. A task is one attempt of a job; its id is the job's. */
import {z} from 'zod';
import {hostIdSchema, jobIdSchema} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** One line of the platform's lagging list of tasks. */
export const listedTaskSchema = z.object({
	taskId: jobIdSchema,
	attempt: z.number().int().positive(),
	hostId: hostIdSchema,
	/** `lapsed`: the worker stopped it since its lease had ended. `lost`: its worker failed or rebooted. */
	state: z.enum(['running', 'succeeded', 'failed', 'stopped', 'lapsed', 'lost']),
	leaseUntil: instantSchema,
	/** Share of its cores that it may use. */
	throttle: z.number(),
	/** Milliseconds of its work that the last checkpoint holds. */
	checkpointMs: z.number(),
	usage: z.object({cores: z.number(), memoryBytes: z.number()}),
	reportedAt: instantSchema,
});
export type ListedTask = z.infer<typeof listedTaskSchema>;

/** What the platform answers to a call about a task: how it stands now, ahead of the lagging list. */
export const taskAnswerSchema = listedTaskSchema.pick({attempt: true, state: true, checkpointMs: true});
export type TaskAnswer = z.infer<typeof taskAnswerSchema>;
