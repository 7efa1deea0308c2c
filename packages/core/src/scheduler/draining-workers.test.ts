/** Long-running tasks of a worker that is draining run elsewhere before it leaves: one that leaves with them keeps them away until its lease has lapsed. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import {modelSettings} from './testing/model-settings.js';
import type {SchedulerEffect} from './effects.js';
import type {StepDefinition, WorkerEntry} from './types.js';

const shortNoticeMs = 2000;
const longNoticeMs = 6000;
const noticesMs = [shortNoticeMs, 2500, longNoticeMs, 20_000];
/** Half of a worker's capacity. */
const halfOfWorker = {cpu: 4000, memoryMb: 100, gpu: 0};
const longRunning: Partial<StepDefinition> = {isLongRunning: true, estimateMs: 600_000};

/** A leader whose workers leave when the time that they have told is over. */
class LeavingFleet {
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

	submit(step: Partial<StepDefinition>, number = 1): void {
		this.leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(number, [createStep({...longRunning, ...step})])}]});
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
	changeLeader(): void {
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
	joinOrdered(id: string): void {
		const [order] = this.leader.orders;
		expect(order?.machineId).toEqual('spare');
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

/** Runs of a model worker end and start within this time, with the ticks of the leader. */
const promptMs = 200;

describe('a worker that is draining', () => {
	for (const noticeMs of noticesMs) {
		/** Guards against long-running tasks that stay until the worker exits, although there is room elsewhere and time to move them (LOST). */
		it(`leaves without long-running tasks if there is room elsewhere, ${noticeMs} ms before`, () => {
			const fleet = LeavingFleet.create('1');
			fleet.submit({count: 2, need: halfOfWorker});
			fleet.addMachines('2');
			fleet.run(100);
			expect(fleet.listTasks('1').length).toEqual(2);
			fleet.drain('1', noticeMs);
			expect(fleet.runUntilLeft('1')).toEqual([]);
			expect(fleet.listTasks('2').length).toEqual(2);
			expect(Math.max(...fleet.awayMs.values())).toBeLessThan(promptMs);
		});

		/** Guards against the same under a leader that takes over while the worker drains. */
		it(`leaves without them under a new leader, ${noticeMs} ms before`, () => {
			const fleet = LeavingFleet.create('1');
			fleet.submit({count: 2, need: halfOfWorker});
			fleet.drain('1', noticeMs);
			fleet.addMachines('2');
			fleet.changeLeader();
			expect(fleet.runUntilLeft('1')).toEqual([]);
			expect(fleet.listTasks('2').length).toEqual(2);
			expect(Math.max(...fleet.awayMs.values())).toBeLessThan(promptMs);
		});
	}

	/** Guards against a pool that waits for the exit of its worker before it asks for a machine. */
	it('leaves without them if the pool has room only on a machine that it must ask for', () => {
		const fleet = LeavingFleet.create('1', '2');
		fleet.submit({count: 4, need: {...halfOfWorker, cpu: 3000}});
		expect(fleet.leader.orders).toEqual([]);
		fleet.drain('1', longNoticeMs);
		fleet.run(500);
		fleet.joinOrdered('3');
		expect(fleet.runUntilLeft('1')).toEqual([]);
		expect(fleet.listTasks('3').length).toEqual(2);
		expect(Math.max(...fleet.awayMs.values())).toBeLessThan(promptMs);
	});

	/** Guards against stops for which there is no room: the tasks would be away for nothing. */
	it('keeps those that have no room elsewhere while there is time, and moves no more than there is room for', () => {
		const fleet = LeavingFleet.create('1', '2');
		fleet.submit({count: 3, need: halfOfWorker});
		fleet.drain('1', longNoticeMs);
		fleet.drain('2', longNoticeMs);
		fleet.run(100);
		fleet.addMachines('3');
		fleet.submit({count: 1, need: halfOfWorker}, 2);
		fleet.run(2000);
		expect(fleet.listTasks('3').length).toEqual(2);
		expect([...fleet.listTasks('1'), ...fleet.listTasks('2')].length).toEqual(2);
		expect(fleet.mostAway <= 1).toEqual(true);
	});

	/** Guards against waiting for the lease of a worker that has left, though the task could have been stopped. */
	it('is rid of its tasks before it leaves even without room, so that they start as soon as there is some', () => {
		const fleet = LeavingFleet.create('1', '2');
		fleet.submit({count: 4, need: halfOfWorker});
		fleet.drain('1', shortNoticeMs);
		expect(fleet.runUntilLeft('1')).toEqual([]);
		fleet.run(100);
		fleet.addMachines('3');
		fleet.run(promptMs);
		expect(fleet.listTasks('3').length).toEqual(2);
	});

	it('has the tasks of a step that may miss one moved one after another while there is time', () => {
		const fleet = LeavingFleet.create('1');
		fleet.submit({count: 3, need: {...halfOfWorker, cpu: 1000}, maxUnavailable: 1});
		fleet.addMachines('2');
		fleet.run(100);
		fleet.drain('1', 20_000);
		expect(fleet.runUntilLeft('1')).toEqual([]);
		expect({moved: fleet.listTasks('2').length, mostAway: fleet.mostAway}).toEqual({moved: 3, mostAway: 1});
	});

	/** Guards against tasks of a step that may miss one that are taken along because there was no time to move them one after another. */
	it('leaves without them also if there is no time for that', () => {
		const fleet = LeavingFleet.create('1');
		fleet.submit({count: 6, need: {...halfOfWorker, cpu: 1000}, maxUnavailable: 1});
		fleet.addMachines('2');
		fleet.run(100);
		fleet.drain('1', shortNoticeMs);
		expect(fleet.runUntilLeft('1')).toEqual([]);
		expect(fleet.listTasks('2').length).toEqual(6);
	});

	it('keeps what it still has if it is ready again', () => {
		const fleet = LeavingFleet.create('1');
		fleet.submit({count: 3, need: {...halfOfWorker, cpu: 1000}, maxUnavailable: 1});
		fleet.addMachines('2');
		fleet.run(100);
		fleet.drain('1', 20_000);
		fleet.run(500);
		fleet.keep('1');
		fleet.run(3000);
		expect({kept: fleet.listTasks('1').length, moved: fleet.listTasks('2').length}).toEqual({kept: 2, moved: 1});
	});
});

describe('a pool whose worker is draining', () => {
	/** Guards against a machine that counts for its pool until its worker has left, so that another is asked for only then. */
	it('asks for another machine at once if it needs as many as it has', () => {
		const fleet = LeavingFleet.create('1', '2');
		fleet.submit({count: 2, need: halfOfWorker});
		const ordered = fleet.leader.orders.length;
		const isFirstIdle = fleet.listTasks('1').length === 0;
		fleet.drain(isFirstIdle ? '1' : '2', longNoticeMs);
		fleet.run(500);
		expect({before: ordered, after: fleet.leader.orders.length}).toEqual({before: 0, after: 1});
	});
});

/** A leader by hand whose worker `w1` runs one task of a step, with free workers `w2`. */
function createBusyHost(step: Partial<StepDefinition>): {host: HandDrivenHost; start: EffectOf<'worker/start'>} {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1, ...step})])), ...host.effects]);
	host.answerStart(start!);
	return {host, start: start!};
}

function pollRunning(host: HandDrivenHost, {task, run}: EffectOf<'worker/start'>, percent: number): void {
	host.now++;
	host.answerPoll('w1', {
		running: [{
			task, run, checkpoint: '', percent, reading: 0,
		}],
	});
}

function listStops(effects: readonly SchedulerEffect[]): Array<EffectOf<'worker/stop'>> {
	return effects.filter(effect => effect.type === 'worker/stop');
}

function drainByHand(host: HandDrivenHost, remainingMs: number): void {
	host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs}), createWorker('w2')], isReloaded: false});
	host.now++;
	host.answerPoll('w2');
}

/** Confirms a stop, whose end carries a checkpoint. */
function endStopped(host: HandDrivenHost, {task, run, token}: EffectOf<'worker/stop'>): void {
	host.dispatch({
		type: 'stop/ended', workerId: 'w1', bornAt: 1, task, run, outcome: 'stopped', token,
	});
	host.now++;
	host.answerPoll('w1', {
		ended: [{
			number: 1, task, run, how: 'stopped', checkpoint: 'c1',
		}],
	});
	host.tick(100);
}

describe('a run that is stopped at a worker that is draining', () => {
	it('is continued elsewhere from the checkpoint of the stop', () => {
		const {host, start} = createBusyHost({...longRunning, isCheckpointing: true});
		pollRunning(host, start, 100);
		drainByHand(host, longNoticeMs);
		const [stop] = listStops(host.tick(200));
		endStopped(host, stop!);
		const {worker, run, checkpoint} = listStarts(host.effects).at(-1)!;
		expect({workerId: worker.id, run, checkpoint}).toEqual({workerId: 'w2', run: 2, checkpoint: 'c1'});
	});

	/** Guards against a short task whose work of seconds is lost with its worker, although a stop would have kept it. */
	it('is a short one only if it keeps its work and would not end before the worker leaves, just before that', () => {
		const {host, start} = createBusyHost({estimateMs: 20_000, isCheckpointing: true});
		pollRunning(host, start, 10);
		drainByHand(host, longNoticeMs);
		expect(listStops(host.tick(3000))).toEqual([]);
		pollRunning(host, start, 25);
		const [stop] = listStops(host.tick(2800));
		endStopped(host, stop!);
		expect(listStarts(host.effects).at(-1)!.checkpoint).toEqual('c1');
	});

	it('is no short one that ends in time or keeps no work', () => {
		const ending = createBusyHost({estimateMs: 6000, isCheckpointing: true});
		const lossy = createBusyHost({estimateMs: 20_000});
		for (const [{host, start}, percent] of [[ending, 95], [lossy, 25]] as const) {
			drainByHand(host, longNoticeMs);
			host.tick(4500);
			pollRunning(host, start, percent);
			expect(listStops(host.tick(1400))).toEqual([]);
		}
	});
});
