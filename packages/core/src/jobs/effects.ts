/** What running jobs asks of the platform. All but the list are idempotent by job and attempt. */
import type {HostId, JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Answered by `tasks/listed`, or not at all. */
export type TasksListEffect = {readonly type: 'tasks/list'};

/** Answered by `task/start-answered`. */
export type TaskStartEffect = {
	readonly type: 'task/start';
	readonly jobId: JobId;
	readonly attempt: number;
	readonly worker: HostId;
	readonly leaseUntil: Instant;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly runMs: number;
	/** Milliseconds of work that an earlier attempt's checkpoint holds. */
	readonly checkpointMs: number;
};

/** Lengthens a task's lease to what the log already holds. */
export type TaskRenewEffect = {
	readonly type: 'task/renew';
	readonly jobId: JobId;
	readonly attempt: number;
	readonly leaseUntil: Instant;
};

/** Answered by `task/told`, or not at all, as is a checkpoint. */
export type TaskStopEffect = {readonly type: 'task/stop'; readonly jobId: JobId; readonly attempt: number};
export type TaskCheckpointEffect = {readonly type: 'task/checkpoint'; readonly jobId: JobId; readonly attempt: number};

/** `share` of its cores that a task may use, above 0 to 1. */
export type TaskThrottleEffect = {
	readonly type: 'task/throttle';
	readonly jobId: JobId;
	readonly attempt: number;
	readonly share: number;
};

export type JobEffect = TasksListEffect | TaskStartEffect | TaskRenewEffect | TaskStopEffect | TaskCheckpointEffect | TaskThrottleEffect;
