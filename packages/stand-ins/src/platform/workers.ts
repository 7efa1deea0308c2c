/** The workers of the platform test double: advances tasks and operations periodically, and reports states with a lag. */
import type {ListedHost} from '@rhubarblever/core';
import {LaggingValue} from './lagging-value.js';
import type {PlatformLedger} from './ledger.js';
import {OperationTable} from './operations.js';
import {TaskTable} from './tasks.js';
import {
	createWorker, getWorkerState, type Task, type TaskState, type Worker, type WorkerState,
} from './worker.js';

const tickMs = 20;
/** Interval between the snapshots that lagging reports are read from. */
const snapshotMs = 100;

export type WorkerReport = {
	readonly hostId: string;
	readonly availabilityZone: string;
	readonly rack: string | undefined;
	readonly pool: string | undefined;
	readonly state: WorkerState;
	readonly runningTasks: number;
	/** Milliseconds since the epoch. */
	readonly reportedAt: number;
};

export type TaskReport = {
	readonly taskId: string;
	readonly attempt: number;
	readonly hostId: string;
	readonly state: TaskState;
	readonly leaseUntil: number;
	readonly throttle: number;
	/** Milliseconds of work saved by the last checkpoint. */
	readonly checkpointMs: number;
	readonly usage: {readonly cores: number; readonly memoryBytes: number};
	readonly startedAt: number;
	readonly endedAt: number | undefined;
	readonly reportedAt: number;
};

type Reports = {readonly workers: readonly WorkerReport[]; readonly tasks: readonly TaskReport[]};

export class WorkerTable {
	static create(ledger: PlatformLedger, getRebootMs: () => number): WorkerTable {
		return new WorkerTable(ledger, getRebootMs);
	}

	readonly tasks: TaskTable;
	readonly operations: OperationTable;
	private readonly workers = new Map<string, Worker>();
	private readonly snapshots = LaggingValue.create<Reports>();
	private lastTickAt = Date.now();
	private nextSnapshotAt = 0;

	private constructor(private readonly ledger: PlatformLedger, getRebootMs: () => number) {
		this.tasks = TaskTable.create(ledger);
		this.operations = OperationTable.create(ledger, this.tasks, getRebootMs);
		setInterval(() => {
			this.tick();
		}, tickMs).unref();
	}

	/** Adds the workers of a host list that are not in the table yet. */
	add(hosts: readonly ListedHost[]): void {
		for (const listed of hosts) {
			if (listed.role === 'worker' && !this.workers.has(listed.hostId)) {
				this.workers.set(listed.hostId, createWorker(listed));
				this.ledger.note({event: 'worker-added', hostId: listed.hostId, pool: listed.pool});
			}
		}
	}

	get(hostId: string): Worker | undefined {
		return this.workers.get(hostId);
	}

	/** The workers of a rack. */
	listRack(rack: string): Worker[] {
		return [...this.workers.values()].filter(worker => worker.listed.rack === rack);
	}

	/** Fails a worker; its tasks are lost. */
	markDown(worker: Worker): void {
		if (worker.condition === 'down') {
			return;
		}

		worker.condition = 'down';
		this.ledger.note({event: 'worker-failed', hostId: worker.listed.hostId, pool: worker.pool});
		for (const task of worker.tasks) {
			this.tasks.end(worker, task, 'lost');
		}
	}

	/** Recovers a failed worker, and stops making its tasks fail. */
	heal(worker: Worker): void {
		worker.failsTasks = false;
		if (worker.condition === 'down') {
			worker.condition = 'up';
			this.ledger.note({event: 'worker-healed', hostId: worker.listed.hostId, pool: worker.pool});
		}
	}

	/** Workers and tasks as of `lagMs` ago; without a lag, their current states. */
	report(lagMs: number): Reports {
		return (lagMs > 0 ? this.snapshots.read(Date.now() - lagMs) : undefined) ?? this.describe();
	}

	private tick(): void {
		const now = Date.now();
		const elapsedMs = now - this.lastTickAt;
		this.lastTickAt = now;
		for (const worker of this.workers.values()) {
			this.tasks.tick(worker, elapsedMs);
			this.operations.tick(worker);
		}

		if (now >= this.nextSnapshotAt) {
			this.nextSnapshotAt = now + snapshotMs;
			this.snapshots.record(this.describe(), now);
		}
	}

	private describe(): Reports {
		const reportedAt = Date.now();
		return {
			workers: [...this.workers.values()].map(worker => describeWorker(worker, reportedAt)),
			tasks: this.tasks.list().map(task => describeTask(task, reportedAt)),
		};
	}
}

function describeWorker(worker: Worker, reportedAt: number): WorkerReport {
	return {
		hostId: worker.listed.hostId,
		availabilityZone: worker.listed.availabilityZone,
		rack: worker.listed.rack,
		pool: worker.pool,
		state: getWorkerState(worker),
		runningTasks: worker.tasks.size,
		reportedAt,
	};
}

function describeTask(task: Task, reportedAt: number): TaskReport {
	const share = task.state === 'running' ? 1 : 0;
	return {
		taskId: task.taskId,
		attempt: task.attempt,
		hostId: task.hostId,
		state: task.state,
		leaseUntil: task.leaseUntil,
		throttle: task.throttle,
		checkpointMs: task.checkpointMs,
		usage: {cores: task.trueCores * task.throttle * share, memoryBytes: task.trueMemoryBytes * share},
		startedAt: task.startedAt,
		endedAt: task.endedAt,
		reportedAt,
	};
}
