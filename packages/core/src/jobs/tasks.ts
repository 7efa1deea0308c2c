/** Tasks as the platform's API reports them. A task is one attempt of a job; its id is the job's id. */
import {z} from 'zod';
import {hostIdSchema, jobIdSchema} from '../types/ids.js';
import {instantSchema} from '../types/time.js';

/** One entry of the platform's list of tasks, which is delayed. */
export const listedTaskSchema = z.object({
	taskId: jobIdSchema,
	attempt: z.number().int().positive(),
	hostId: hostIdSchema,
	/** `lapsed`: the worker stopped the task because its lease had expired. `lost`: its worker failed or rebooted. */
	state: z.enum(['running', 'succeeded', 'failed', 'stopped', 'lapsed', 'lost']),
	leaseUntil: instantSchema,
	/** Share of its cores that the task may use. */
	throttle: z.number(),
	/** Milliseconds of work saved in the latest checkpoint. */
	checkpointMs: z.number(),
	usage: z.object({cores: z.number(), memoryBytes: z.number()}),
	reportedAt: instantSchema,
});
export type ListedTask = z.infer<typeof listedTaskSchema>;

/** The platform's answer to a call about a task: its current state, which may be newer than the delayed list. */
export const taskAnswerSchema = listedTaskSchema.pick({attempt: true, state: true, checkpointMs: true});
export type TaskAnswer = z.infer<typeof taskAnswerSchema>;
