/** For tests: workers that tell when they leave, and what becomes of their long-running tasks. */
import type {StepDefinition, WorkerEntry} from '../types.js';
import {createJob, createStep} from './model-jobs.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './model-leader.js';
import {modelSettings} from './model-settings.js';

/** A long-running step; `changes` replaces single fields. */
export function createLongRunningStep(changes: Partial<StepDefinition>): StepDefinition {
	return createStep({isLongRunning: true, estimateMs: 600_000, ...changes});
}

/** A leader whose workers leave when the time that they have told is over. */
export class LeavingFleet {
	static create(...ids: readonly string[]): LeavingFleet {
		const fleet = new LeavingFleet();
		fleet.leader.run(50);
		fleet.addMachines(...ids);
		fleet.leader.run(50);
		return fleet;
	}

	readonly leader = ModelLeader.create();
	/** The longest time for which each task of a job was without a run. */
	readonly awayMs = new Map<string, number>();
	/** The most tasks that were without a run at once. */
	mostAway = 0;
	private machineIds: readonly string[] = [];
	private readonly changes = new Map<string, Partial<WorkerEntry>>();
	private readonly leavesAt = new Map<string, number>();
	private readonly lastSeenAt = new Map<string, number>();

	/** Adds machines `mX` with workers `wX` to the pool, beside one spare machine. */
	addMachines(...ids: readonly string[]): void {
		this.machineIds = [...this.machineIds, ...ids];
		this.list();
	}

	/** Submits a job of one long-running step, and waits until its tasks run. */
	submit(step: Partial<StepDefinition>, number = 1): void {
		this.leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(number, [createLongRunningStep(step)])}]});
		this.run(1500);
	}

	/** A worker reports that it leaves. */
	drain(id: string, remainingMs: number): void {
		this.changes.set(`w${id}`, {isDraining: true, remainingMs});
		this.leavesAt.set(`w${id}`, this.leader.now + remainingMs);
		this.list();
	}

	/** A worker reports that it stays. */
	keep(id: string): void {
		this.changes.delete(`w${id}`);
		this.leavesAt.delete(`w${id}`);
		this.list();
	}

	/** Runs until a worker leaves; returns the tasks that it takes along. */
	runUntilLeft(id: string): string[] {
		this.run(this.leavesAt.get(`w${id}`)! - this.leader.now);
		const taken = this.listTasks(id);
		this.leader.running.set(`w${id}`, []);
		this.leader.unreachableWorkers.add(`w${id}`);
		this.machineIds = this.machineIds.filter(other => other !== id);
		this.list();
		return taken;
	}

	run(forMs: number): void {
		const {leader} = this;
		for (const end = leader.now + forMs; leader.now < end;) {
			leader.run(5);
			this.measure();
		}
	}

	/** Another host leads from now on: it has what is stored, and hears of the workers anew. */
	replaceLeader(): void {
		const {leader} = this;
		const progress = leader.records.findLast(record => record.type === 'progress')!;
		for (const body of [
			{type: 'commit/ended', outcome: 'fenced', sequence: 0},
			{type: 'ledger/loaded', entries: [{offset: 8, record: progress}], nextOffset: 9},
		] as const) {
			leader.push(body);
		}

		leader.takeLeadership(9);
		this.list();
	}

	/** A machine of the spare pool that was ordered joins the pool as `mX` with `wX`. */
	addOrdered(id: string): void {
		const [order] = this.leader.orders;
		if (order?.machineId !== 'spare') {
			throw new Error('the spare machine was not ordered');
		}

		this.run(modelSettings.moveMs);
		this.leader.endOrder(order, 'done');
		this.addMachines(id);
		this.run(50);
	}

	/** The tasks at a worker. */
	listTasks(id: string): string[] {
		return (this.leader.running.get(`w${id}`) ?? []).map(({task}) => task);
	}

	private measure(): void {
		const {leader, lastSeenAt, awayMs} = this;
		for (const {task} of [...leader.running.values()].flat()) {
			lastSeenAt.set(task, leader.now);
		}

		let away = 0;
		for (const [task, at] of lastSeenAt) {
			away += at < leader.now ? 1 : 0;
			awayMs.set(task, Math.max(awayMs.get(task) ?? 0, leader.now - at));
		}

		this.mostAway = Math.max(this.mostAway, away);
	}

	private list(): void {
		this.leader.listMachines([
			...this.machineIds.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`})),
			createMachineEntry('spare', {pool: sparePoolName}),
		]);
		this.leader.listWorkers(...this.machineIds.map(id => ({
			...createWorkerEntry(`w${id}`, `m${id}`), ...this.changes.get(`w${id}`), ...(this.leavesAt.has(`w${id}`) && {remainingMs: this.leavesAt.get(`w${id}`)! - this.leader.now}),
		})));
	}
}
