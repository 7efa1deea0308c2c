/** Calls of the job runner to the platform. All but `tasks/list` are idempotent by job and attempt. */
import type {HostId, JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Answered by a `tasks/listed` event, or not at all. */
export type TasksListEffect = {readonly type: 'tasks/list'};

/** Answered by a `task/start-answered` event. */
export type TaskStartEffect = {
	readonly type: 'task/start';
	readonly jobId: JobId;
	readonly attempt: number;
	readonly worker: HostId;
	readonly leaseUntil: Instant;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly runMs: number;
	/** Milliseconds of work saved in the checkpoint of an earlier attempt; 0 without one. */
	readonly checkpointMs: number;
};

/** Extends a task's lease to the deadline that the log already has. */
export type TaskRenewEffect = {
	readonly type: 'task/renew';
	readonly jobId: JobId;
	readonly attempt: number;
	readonly leaseUntil: Instant;
};

/** Stop and checkpoint calls are answered by a `task/told` event, or not at all. */
export type TaskStopEffect = {readonly type: 'task/stop'; readonly jobId: JobId; readonly attempt: number};
export type TaskCheckpointEffect = {readonly type: 'task/checkpoint'; readonly jobId: JobId; readonly attempt: number};

/** Limits a task to a `share` of its cores: greater than 0, at most 1. */
export type TaskThrottleEffect = {
	readonly type: 'task/throttle';
	readonly jobId: JobId;
	readonly attempt: number;
	readonly share: number;
};

export type JobEffect = TasksListEffect | TaskStartEffect | TaskRenewEffect | TaskStopEffect | TaskCheckpointEffect | TaskThrottleEffect;
