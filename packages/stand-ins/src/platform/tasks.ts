/** Tasks of workers: leases, progress, resource use and outcomes. */
import {z} from 'zod';
import type {PlatformEvent, PlatformLedger} from './ledger.js';
import type {PlatformSettings} from './settings.js';
import {
	getWorkerState, type Task, type TaskState, type Worker,
} from './worker.js';

const defaultCores = 64;
const defaultMemoryBytes = 256 * (1024 ** 3);
/** A worker whose tasks are made to fail fails each of them after this time. */
const quickFailureMs = 50;

export const taskStartSchema = z.strictObject({
	taskId: z.string().min(1),
	attempt: z.number().int().positive(),
	leaseUntil: z.number().nonnegative(),
	cores: z.number().positive(),
	memoryBytes: z.number().nonnegative(),
	runMs: z.number().nonnegative(),
	trueCores: z.number().positive().optional(),
	trueMemoryBytes: z.number().nonnegative().optional(),
	willFail: z.boolean().default(false),
	/** Milliseconds of work saved by the checkpoint of an earlier attempt. */
	checkpointMs: z.number().nonnegative().default(0),
});
export type TaskStart = z.infer<typeof taskStartSchema>;

/** Replaces the declared values of a start with the actual ones from the settings, if an entry matches. */
export function applyActualValues(start: TaskStart, truths: PlatformSettings['taskTruths']): TaskStart {
	const actual = truths.find(({taskIdPrefix}) => start.taskId.startsWith(taskIdPrefix));
	if (!actual) {
		return start;
	}

	const {taskIdPrefix: _, ...changes} = actual;
	return {...start, ...changes};
}

const endEvents: Readonly<Record<Exclude<TaskState, 'running'>, PlatformEvent>> = {
	succeeded: 'task-succeeded', failed: 'task-failed', stopped: 'task-stopped', lapsed: 'task-lapsed', lost: 'task-lost',
};

export class TaskTable {
	static create(ledger: PlatformLedger): TaskTable {
		return new TaskTable(ledger);
	}

	private readonly tasks = new Map<string, Task>();

	private constructor(private readonly ledger: PlatformLedger) {}

	/** Starts an attempt on a worker; idempotent for each attempt. Undefined if the worker accepts no tasks or the lease has expired. */
	start(worker: Worker, start: TaskStart): Task | undefined {
		const key = `${start.taskId}#${start.attempt}`;
		const known = this.tasks.get(key);
		if (known) {
			return known;
		}

		if (getWorkerState(worker) !== 'up' || start.leaseUntil <= Date.now()) {
			this.note('task-refused', worker, start);
			return undefined;
		}

		const task: Task = {
			...start,
			hostId: worker.listed.hostId,
			trueCores: start.trueCores ?? start.cores,
			trueMemoryBytes: start.trueMemoryBytes ?? start.memoryBytes,
			throttle: 1,
			doneMs: start.checkpointMs,
			state: 'running',
			startedAt: Date.now(),
			endedAt: undefined,
		};
		this.tasks.set(key, task);
		worker.tasks.add(task);
		this.note('task-started', worker, task);
		return task;
	}

	/** The given attempt of a task, or its latest. */
	findTask(taskId: string, attempt: number | undefined): Task | undefined {
		return this.list().findLast(task => task.taskId === taskId && (attempt === undefined || task.attempt === attempt));
	}

	list(): Task[] {
		return [...this.tasks.values()];
	}

	/** Ends a running task; the ledger event defaults to the one of the new state. */
	end(worker: Worker, task: Task, state: Exclude<TaskState, 'running'>, event: PlatformEvent = endEvents[state]): void {
		task.state = state;
		task.endedAt = Date.now();
		worker.tasks.delete(task);
		this.note(event, worker, task);
	}

	/** Advances a worker's tasks by the elapsed time. All tasks slow down equally if together they need more cores than the worker has. */
	tick(worker: Worker, elapsedMs: number): void {
		const neededCores = [...worker.tasks].reduce((sum, task) => sum + (task.trueCores * task.throttle), 0);
		const speed = Math.min(1, (worker.listed.cores ?? defaultCores) / neededCores);
		for (const task of worker.tasks) {
			task.doneMs += elapsedMs * speed * task.throttle;
			this.endIfDue(worker, task);
		}

		this.endForMemory(worker);
	}

	/** Limits a running task to a share of its cores. */
	throttle(worker: Worker, task: Task, share: number): void {
		task.throttle = share;
		this.note('task-throttled', worker, task);
	}

	/** Saves the progress of a running task. */
	writeCheckpoint(worker: Worker, task: Task): void {
		task.checkpointMs = task.doneMs;
		this.note('task-checkpointed', worker, task);
	}

	private endIfDue(worker: Worker, task: Task): void {
		const now = Date.now();
		if (task.leaseUntil <= now) {
			this.end(worker, task, 'lapsed');
		} else if (worker.failsTasks && now - task.startedAt >= quickFailureMs) {
			this.end(worker, task, 'failed');
		} else if (task.doneMs >= task.runMs) {
			this.end(worker, task, task.willFail ? 'failed' : 'succeeded');
		}
	}

	/** While a worker's tasks use more memory than it has, the most recently started one fails. */
	private endForMemory(worker: Worker): void {
		const memoryBytes = worker.listed.memoryBytes ?? defaultMemoryBytes;
		const tasks = [...worker.tasks];
		let used = tasks.reduce((sum, task) => sum + task.trueMemoryBytes, 0);
		for (const task of tasks.toReversed()) {
			if (used <= memoryBytes) {
				return;
			}

			used -= task.trueMemoryBytes;
			this.end(worker, task, 'failed', 'task-out-of-memory');
		}
	}

	private note(event: PlatformEvent, worker: Worker, {taskId, attempt}: {readonly taskId: string; readonly attempt: number}): void {
		this.ledger.note({
			event, hostId: worker.listed.hostId, pool: worker.pool, taskId, attempt,
		});
	}
}
