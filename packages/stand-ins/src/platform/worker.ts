/** A worker of the platform test double and its tasks. */
import type {ListedHost} from '@rhubarblever/core';

export type WorkerState = 'up' | 'draining' | 'drained' | 'rebooting' | 'down';

/** State of a task. `lapsed`: stopped because its lease expired. `lost`: its worker failed or rebooted. */
export type TaskState = 'running' | 'succeeded' | 'failed' | 'stopped' | 'lapsed' | 'lost';

export type Task = {
	readonly taskId: string;
	readonly attempt: number;
	readonly hostId: string;
	leaseUntil: number;
	/** Declared resource needs. */
	readonly cores: number;
	readonly memoryBytes: number;
	/** Actual resource use, and the run time on an idle worker; both may differ from what was declared. */
	readonly trueCores: number;
	readonly trueMemoryBytes: number;
	readonly runMs: number;
	readonly willFail: boolean;
	/** Share of its cores that it may use, greater than 0 and at most 1. */
	throttle: number;
	/** Milliseconds of work done, and of work saved by the last checkpoint. */
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
	/** If true, every task on this worker fails shortly after its start. */
	failsTasks: boolean;
	rebootDoneAt: number;
	readonly tasks: Set<Task>;
};

const statesByIntake: Readonly<Record<Worker['intake'], WorkerState>> = {open: 'up', draining: 'draining', drained: 'drained'};

/** Creates a worker that accepts tasks. */
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

/** A worker's state as the platform reports it. */
export function getWorkerState(worker: Worker): WorkerState {
	return worker.condition === 'up' ? statesByIntake[worker.intake] : worker.condition;
}
