/** Events of the daemon about tasks. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {ListedTask, TaskAnswer} from './tasks.js';

export type TasksListedEvent = {
	readonly type: 'tasks/listed';
	readonly at: Instant;
	readonly tasks: readonly ListedTask[];
};

/** `refused`: the worker confirmed that this call did not start the task. `unknown`: there was no answer, so the task may have started. */
export type TaskStartAnsweredEvent = {
	readonly type: 'task/start-answered';
	readonly at: Instant;
	readonly jobId: JobId;
	readonly attempt: number;
	readonly answer: 'started' | 'refused' | 'unknown';
};

/** The platform's answer to a stop or checkpoint call: the state of the task. */
export type TaskAnsweredEvent = {
	readonly type: 'task/told';
	readonly at: Instant;
	readonly jobId: JobId;
	readonly task: TaskAnswer;
};

export type JobEvent = TasksListedEvent | TaskStartAnsweredEvent | TaskAnsweredEvent;
