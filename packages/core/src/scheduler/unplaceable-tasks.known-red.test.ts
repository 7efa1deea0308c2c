/** Demand for machines where placement limits what a pool's workers may be given. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';

const capacity = {cpu: 8000, memoryMb: 100_000, gpu: 0};
/** Only one such task fits on a machine, though the sum of three is far below the capacity of three machines. */
const need = {cpu: 1000, memoryMb: 55_000, gpu: 0};

describe('a long-running task that no worker of its pool may take', () => {
	const workers = ['1', '2', '3'].map(id => createWorkerEntry(`w${id}`, `m${id}`));
	const machines = [
		...['1', '2', '3'].map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`, capacity})),
		createMachineEntry('s1', {pool: sparePoolName, capacity}),
	];

	/** Guards against a demand for machines that counts room which placement cannot use. */
	it('gets another machine, though the pool has the room in sum', () => {
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listMachines(machines);
		leader.listWorkers(...workers);
		leader.run(50);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 4, need, isLongRunning: true})])}]});
		for (let round = 0; round < 6; round++) {
			leader.run(500);
			leader.listMachines(machines);
		}

		expect([...leader.running.values()].flat().length).toEqual(3);
		expect(leader.listOrderedMachines()).toEqual(['s1']);
	});

	/** Guards against a request for machines that is repeated while the machine is on its way. */
	it('gets one machine, not one more with each look', () => {
		const leader = ModelLeader.create();
		leader.run(50);
		const more = [...machines, createMachineEntry('s2', {pool: sparePoolName, capacity}), createMachineEntry('s3', {pool: sparePoolName, capacity})];
		leader.listMachines(more);
		leader.listWorkers(...workers);
		leader.run(50);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 4, need, isLongRunning: true})])}]});
		for (let round = 0; round < 6; round++) {
			leader.run(500);
			leader.listMachines(more);
		}

		expect(leader.listOrderedMachines().length).toEqual(1);
	});
});
