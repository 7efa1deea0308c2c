/** Workers that drain: tasks that are stopped must have room that they may use at once, and each missing machine is asked for once. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createWorker, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import type {SchedulerEffect} from './effects.js';
import type {StepDefinition} from './types.js';

const noticeMs = 6000;
/** A long-running task must run again within this time of the end of its run: 6 s, and the 3 s for which its absence is tolerated. */
const restartLimitMs = 9000;

function listStops(effects: readonly SchedulerEffect[]): Array<EffectOf<'worker/stop'>> {
	return effects.filter(effect => effect.type === 'worker/stop');
}

/** Starts one long-running task at w1, drains w1, and confirms the stop; returns how long after the stop the task starts at w2, which is in another rack. */
function measureRestartMs(step: Partial<StepDefinition>): number {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	const [start] = listStarts([...host.submit(createJob(1, [createStep({
		count: 1, isLongRunning: true, estimateMs: 60_000, ...step,
	})])), ...host.effects]);
	host.answerStart(start!);
	const {task, run} = start!;
	const row = {
		task, run, checkpoint: '', percent: 100, reading: 0,
	};
	host.now++;
	host.answerPoll('w1', {running: [row]});
	// The task has been at work for a while.
	for (let count = 0; count < 400; count++) {
		host.tick(100);
		host.answerPoll('w1', {running: [row]});
	}

	host.dispatch({type: 'workers/listed', workers: [createWorker('w1', {isDraining: true, remainingMs: noticeMs}), createWorker('w2', {labels: ['a', 'r2']})], isReloaded: false});
	host.now++;
	host.answerPoll('w2');
	const [stop] = listStops(host.tick(200));
	expect(stop?.task).toEqual(task);
	host.dispatch({
		type: 'stop/ended', workerId: 'w1', bornAt: 1, task, run, outcome: 'stopped', token: host.token,
	});
	host.now++;
	const stoppedAt = host.now;
	host.answerPoll('w1', {
		ended: [{
			number: 1, task, run, how: 'stopped', checkpoint: '',
		}],
	});
	while (host.now < stoppedAt + 40_000) {
		if (listStarts(host.effects).some(({worker}) => worker.id === 'w2')) {
			return host.now - stoppedAt;
		}

		host.tick(100);
		host.answerPoll('w2');
	}

	return Number.POSITIVE_INFINITY;
}

describe('a task that is moved from a worker that is draining', () => {
	/** Control: without a rack it starts at once. */
	it('starts elsewhere in time', () => {
		expect(measureRestartMs({})).toBeLessThan(restartLimitMs);
	});

	/** Guards against a task that is stopped for room in another rack, which placement then refuses because it has waited for its rack only since the stop. */
	it('starts elsewhere in time if its data is in the rack of that worker', () => {
		expect(measureRestartMs({dataRack: 'r1'})).toBeLessThan(restartLimitMs);
	});
});

describe('a pool that has asked for a machine in place of a worker that is draining', () => {
	/** Guards against more machines for the same worker while the first one has joined but its worker is not polled yet. */
	it('asks for no other while the worker of the first one starts', () => {
		const leader = ModelLeader.create();
		const need = {cpu: 4000, memoryMb: 100, gpu: 0};
		const machines = [createMachineEntry('m1', {workerId: 'w1'}), createMachineEntry('m2', {workerId: 'w2'}), ...['s1', 's2', 's3', 's4', 's5'].map(id => createMachineEntry(id, {pool: sparePoolName}))];
		const list = (remainingMs?: number) => {
			leader.listWorkers({...createWorkerEntry('w1', 'm1'), ...(remainingMs !== undefined && {isDraining: true, remainingMs})}, createWorkerEntry('w2', 'm2'));
		};

		leader.run(50);
		leader.listMachines(machines);
		list();
		leader.run(50);
		leader.push({
			type: 'intake/read', records: [{
				type: 'job', job: createJob(1, [createStep({
					isLongRunning: true, estimateMs: 600_000, count: 3, need,
				})]),
			}],
		});
		leader.run(1500);
		expect(leader.orders.length).toEqual(0);
		leader.listMachines(machines);
		list(20_000);
		leader.run(1000);
		const [first] = leader.orders;
		const asked = leader.orders.length;
		leader.run(500);
		for (const order of leader.orders) {
			leader.endOrder(order, 'done');
		}

		leader.run(1500);
		// The machine is back in the pool, and the platform names its worker; the registry does not have it yet.
		const joined = new Map(leader.orders.map(({machineId}) => [machineId, `w-${machineId}`]));
		leader.listMachines(machines.map(machine => (joined.has(machine.id) ? createMachineEntry(machine.id, {workerId: joined.get(machine.id)!}) : machine)));
		leader.run(1000);
		expect({first: first?.type, asked, later: leader.orders.length - asked}).toEqual({first: 'machine/move', asked: 1, later: 0});
	});
});
