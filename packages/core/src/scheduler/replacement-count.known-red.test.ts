/** Each machine that must replace a leaving one is asked for once. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-jobs.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';

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
