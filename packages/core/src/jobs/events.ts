/** What the daemon tells of tasks. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {ListedTask, TaskAnswer} from './tasks.js';

export type TasksListedEvent = {
	readonly type: 'tasks/listed';
	readonly at: Instant;
	readonly tasks: readonly ListedTask[];
};

/** `refused`: the worker surely did not start it by this call. `unknown`: no answer, it may have started. */
export type TaskStartAnsweredEvent = {
	readonly type: 'task/start-answered';
	readonly at: Instant;
	readonly jobId: JobId;
	readonly attempt: number;
	readonly answer: 'started' | 'refused' | 'unknown';
};

/** The answer to a call that was to stop or checkpoint a task. */
export type TaskAnsweredEvent = {
	readonly type: 'task/told';
	readonly at: Instant;
	readonly jobId: JobId;
	readonly task: TaskAnswer;
};

export type JobEvent = TasksListedEvent | TaskStartAnsweredEvent | TaskAnsweredEvent;
