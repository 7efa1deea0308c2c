/** Operations on workers: drain, reboot, undrain and set-pool. Each is idempotent by its operation id. */
import {z} from 'zod';
import type {PlatformEvent, PlatformLedger} from './ledger.js';
import type {TaskTable} from './tasks.js';
import type {Worker} from './worker.js';

export const operationStartSchema = z.strictObject({
	operationId: z.string().min(1),
	kind: z.enum(['drain', 'reboot', 'undrain', 'set-pool']),
	pool: z.string().min(1).optional(),
	/** Milliseconds since the epoch. */
	deadline: z.number().nonnegative(),
}).refine(operation => operation.kind !== 'set-pool' || operation.pool !== undefined, {path: ['pool'], error: 'is needed for set-pool'});
export type OperationStart = z.infer<typeof operationStartSchema>;

export type Operation = OperationStart & {
	readonly hostId: string;
	state: 'running' | 'done' | 'failed';
};

type OperationSteps = {
	/** Starts the operation and returns its state after the start. */
	readonly start: (table: OperationTable, worker: Worker, operation: Operation) => Operation['state'];
	/** Advances a running operation and returns its new state. */
	readonly tick: (table: OperationTable, worker: Worker, operation: Operation) => Operation['state'];
	readonly failureEvent: PlatformEvent;
};

const operationSteps: Readonly<Record<Operation['kind'], OperationSteps>> = {
	drain: {
		start(table, worker, operation) {
			if (worker.condition === 'down') {
				return 'failed';
			}

			worker.intake = worker.intake === 'drained' ? 'drained' : 'draining';
			table.note('drain-started', worker, operation);
			return operationSteps.drain.tick(table, worker, operation);
		},
		tick(table, worker, operation) {
			if (worker.intake === 'open' || worker.condition === 'down') {
				return 'failed';
			}

			if (worker.tasks.size > 0) {
				return 'running';
			}

			worker.intake = 'drained';
			table.note('drained', worker, operation);
			return 'done';
		},
		failureEvent: 'drain-failed',
	},
	reboot: {
		start(table, worker, operation) {
			if (worker.condition !== 'up') {
				return 'failed';
			}

			table.startReboot(worker, operation);
			return 'running';
		},
		tick(table, worker, operation) {
			if (worker.condition === 'down') {
				return 'failed';
			}

			if (worker.rebootDoneAt > Date.now()) {
				return 'running';
			}

			worker.condition = 'up';
			table.note('rebooted', worker, operation);
			return 'done';
		},
		failureEvent: 'reboot-failed',
	},
	undrain: {
		start(table, worker, operation) {
			worker.intake = 'open';
			table.note('undrained', worker, operation);
			return 'done';
		},
		tick: () => 'done',
		failureEvent: 'undrained',
	},
	'set-pool': {
		start(table, worker, operation) {
			if (worker.intake !== 'drained' || worker.tasks.size > 0) {
				return 'failed';
			}

			worker.pool = operation.pool;
			table.note('pool-set', worker, operation);
			return 'done';
		},
		tick: () => 'done',
		failureEvent: 'set-pool-failed',
	},
};

export class OperationTable {
	static create(ledger: PlatformLedger, tasks: TaskTable, getRebootMs: () => number): OperationTable {
		return new OperationTable(ledger, tasks, getRebootMs);
	}

	private readonly operations = new Map<string, Operation>();

	private constructor(private readonly ledger: PlatformLedger, private readonly tasks: TaskTable, private readonly getRebootMs: () => number) {}

	/** Starts an operation, or returns the existing one with this id. Undefined if the id belongs to a different operation. */
	start(worker: Worker, start: OperationStart): Operation | undefined {
		const known = this.operations.get(start.operationId);
		if (known) {
			return known.hostId === worker.listed.hostId && known.kind === start.kind && known.pool === start.pool ? known : undefined;
		}

		const operation: Operation = {...start, hostId: worker.listed.hostId, state: 'running'};
		this.operations.set(start.operationId, operation);
		const state = start.deadline <= Date.now() ? 'failed' : operationSteps[start.kind].start(this, worker, operation);
		this.update(worker, operation, state);
		return operation;
	}

	get(operationId: string): Operation | undefined {
		return this.operations.get(operationId);
	}

	/** Advances a worker's running operations. A drain past its deadline fails, and the worker accepts tasks again. */
	tick(worker: Worker): void {
		for (const operation of this.operations.values()) {
			if (operation.state !== 'running' || operation.hostId !== worker.listed.hostId) {
				continue;
			}

			const state = operationSteps[operation.kind].tick(this, worker, operation);
			const hasMissedDeadline = state === 'running' && operation.kind === 'drain' && operation.deadline <= Date.now();
			if (hasMissedDeadline) {
				worker.intake = 'open';
			}

			this.update(worker, operation, hasMissedDeadline ? 'failed' : state);
		}
	}

	/** Reboots a worker; tasks that it still runs are lost (ledger event `task-cut`). */
	startReboot(worker: Worker, operation: Operation): void {
		worker.condition = 'rebooting';
		worker.rebootDoneAt = Date.now() + this.getRebootMs();
		this.note('reboot-started', worker, operation);
		for (const task of worker.tasks) {
			this.tasks.end(worker, task, 'lost', 'task-cut');
		}
	}

	note(event: PlatformEvent, worker: Worker, {operationId}: Operation): void {
		this.ledger.note({
			event, hostId: worker.listed.hostId, pool: worker.pool, operationId,
		});
	}

	private update(worker: Worker, operation: Operation, state: Operation['state']): void {
		operation.state = state;
		if (state === 'failed') {
			this.note(operationSteps[operation.kind].failureEvent, worker, operation);
		}
	}
}
