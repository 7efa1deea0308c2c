/** A fake of the platform's workers and log in virtual time, to run the core without processes. */
import type {
	Effect, EffectOf, HostId, Instant, ListedWorker, LoggedRecord, LogRecord, Offset, OperationKind, OperationReport,
} from '@rhubarblever/core';
import {FakeTasks} from './fake-tasks.js';

export type FakeWorker = {
	readonly hostId: HostId;
	readonly availabilityZone: ListedWorker['availabilityZone'];
	readonly rack: NonNullable<ListedWorker['rack']>;
	readonly rebootMs: number;
	/** The worker is down during these periods. */
	readonly outages: ReadonlyArray<{readonly from: number; readonly until: number}>;
	state: ListedWorker['state'];
	/** When the current drain or reboot began. */
	since: number;
};

type FakeOperation = {readonly worker: FakeWorker; readonly kind: OperationKind; readonly deadline: number; state: OperationReport['state']};

const listIntervalMs = 1000;

export class FakePlatform {
	static create(workers: readonly FakeWorker[]): FakePlatform {
		return new FakePlatform(workers);
	}

	readonly log: LoggedRecord[] = [];
	readonly tasks = FakeTasks.create();
	/** Number of tasks that were still running when their worker's reboot began. */
	cutTasks = 0;
	now = 0;
	private readonly operations = new Map<string, FakeOperation>();
	private nextListAt = 0;

	private constructor(readonly workers: readonly FakeWorker[]) {}

	/** Advances the clock and updates workers, tasks and operations. */
	tick(elapsedMs: number): void {
		this.now += elapsedMs;
		for (const worker of this.workers) {
			const isDown = isWorkerDown(worker, this.now);
			if (isDown !== (worker.state === 'down')) {
				worker.state = isDown ? 'down' : 'up';
				this.tasks.removeAll(worker.hostId, this.now);
			}
		}

		this.tasks.tick(elapsedMs, this.now);

		for (const operation of this.operations.values()) {
			if (operation.state === 'running') {
				operation.state = this.judgeOperation(operation);
			}
		}
	}

	append(records: readonly LogRecord[]): void {
		for (const record of records) {
			this.log.push({offset: this.log.length as Offset, at: this.now as Instant, record});
		}
	}

	/** Returns the list of workers about once a second, otherwise undefined. */
	takeList(): readonly ListedWorker[] | undefined {
		if (this.now < this.nextListAt) {
			return undefined;
		}

		this.nextListAt = this.now + listIntervalMs;
		const counts = this.tasks.countByWorker();
		return this.workers.map(worker => ({
			hostId: worker.hostId,
			availabilityZone: worker.availabilityZone,
			rack: worker.rack,
			state: worker.state,
			runningTasks: counts.get(worker.hostId) ?? 0,
			reportedAt: this.now as Instant,
		}));
	}

	start(effect: EffectOf<'operation/start'>): OperationReport['state'] {
		const known = this.operations.get(effect.operationId);
		if (known) {
			return known.state;
		}

		const worker = this.workers.find(({hostId}) => hostId === effect.hostId)!;
		const operation: FakeOperation = {
			worker, kind: effect.kind, deadline: effect.deadline, state: 'running',
		};
		this.operations.set(effect.operationId, operation);
		operation.state = this.startOperation(operation);
		return operation.state;
	}

	read(effect: Extract<Effect, {type: 'operation/read'}>): OperationReport['state'] | 'absent' {
		return this.operations.get(effect.operationId)?.state ?? 'absent';
	}

	/** Starts a task if the worker is up; returns whether it was started. */
	startTask(effect: EffectOf<'task/start'>, runMs: number): boolean {
		const isUp = this.workers.some(worker => worker.hostId === effect.worker && worker.state === 'up');
		if (isUp) {
			this.tasks.start(effect, runMs);
		}

		return isUp;
	}

	private startOperation(operation: FakeOperation): OperationReport['state'] {
		const {worker, kind} = operation;
		if (worker.state === 'down') {
			return kind === 'undrain' ? 'done' : 'failed';
		}

		worker.state = {
			drain: 'draining', reboot: 'rebooting', undrain: 'up', 'set-pool': worker.state,
		}[kind] as FakeWorker['state'];
		worker.since = this.now;
		this.cutTasks += kind === 'reboot' ? this.tasks.removeAll(worker.hostId, this.now) : 0;
		return kind === 'undrain' || kind === 'set-pool' ? 'done' : 'running';
	}

	private judgeOperation({worker, kind, deadline}: FakeOperation): OperationReport['state'] {
		if (kind === 'reboot') {
			const isRebooted = worker.since + worker.rebootMs <= this.now;
			worker.state = isRebooted && worker.state === 'rebooting' ? 'drained' : worker.state;
			return isRebooted ? 'done' : 'running';
		}

		if (worker.state !== 'draining') {
			return 'failed';
		}

		const isDrained = this.tasks.countRunning(worker.hostId) === 0;
		const isLate = !isDrained && deadline <= this.now;
		worker.state = isDrained ? 'drained' : (isLate ? 'up' : 'draining');
		return isDrained ? 'done' : (isLate ? 'failed' : 'running');
	}
}

/** Whether a worker is down at an instant of the virtual clock. */
export function isWorkerDown(worker: FakeWorker, now: number): boolean {
	return worker.outages.some(outage => outage.from <= now && now < outage.until);
}
