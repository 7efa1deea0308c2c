/** Long-running tasks of a worker that is draining run elsewhere before it leaves: one that leaves with them keeps them away until its lease has lapsed. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createLongRunningStep, LeavingFleet} from './testing/leaving-fleet.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {SchedulerEffect} from './effects.js';
import type {StepDefinition} from './types.js';

const shortNoticeMs = 2000;
const longNoticeMs = 6000;
const noticesMs = [shortNoticeMs, 2500, longNoticeMs, 20_000];
/** Half of a worker's capacity. */
const halfOfWorker = {cpu: 4000, memoryMb: 100, gpu: 0};

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
			fleet.replaceLeader();
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
		fleet.addOrdered('3');
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
		const {host, start} = createBusyHost(createLongRunningStep({count: 1, isCheckpointing: true}));
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
