/** One worker of the platform stand-in and the tasks that it runs. */
import type {ListedHost} from '@rhubarblever/core';

export type WorkerState = 'up' | 'draining' | 'drained' | 'rebooting' | 'down';

/** How a task stands. `lapsed`: stopped since its lease had ended. `lost`: its worker failed or rebooted. */
export type TaskState = 'running' | 'succeeded' | 'failed' | 'stopped' | 'lapsed' | 'lost';

export type Task = {
	readonly taskId: string;
	readonly attempt: number;
	readonly hostId: string;
	leaseUntil: number;
	/** Declared size. */
	readonly cores: number;
	readonly memoryBytes: number;
	/** What it really uses and how long it runs on an idle worker. */
	readonly trueCores: number;
	readonly trueMemoryBytes: number;
	readonly runMs: number;
	readonly willFail: boolean;
	/** Share of its cores that it may use, above 0 to 1. */
	throttle: number;
	/** Milliseconds of its work that are done, and that the last checkpoint holds. */
	doneMs: number;
	checkpointMs: number;
	state: TaskState;
	readonly startedAt: number;
	endedAt: number | undefined;
};

export type Worker = {
	readonly listed: ListedHost;
	pool: string | undefined;
	condition: 'up' | 'rebooting' | 'down';
	intake: 'open' | 'draining' | 'drained';
	/** Every task that it starts fails soon. */
	failsTasks: boolean;
	rebootDoneAt: number;
	readonly tasks: Set<Task>;
};

const statesByIntake: Readonly<Record<Worker['intake'], WorkerState>> = {open: 'up', draining: 'draining', drained: 'drained'};

/** A worker that takes tasks. */
export function createWorker(listed: ListedHost): Worker {
	return {
		listed,
		pool: listed.pool,
		condition: 'up',
		intake: 'open',
		failsTasks: false,
		rebootDoneAt: 0,
		tasks: new Set(),
	};
}

/** A worker's state as the platform names it. */
export function getWorkerState(worker: Worker): WorkerState {
	return worker.condition === 'up' ? statesByIntake[worker.intake] : worker.condition;
}
