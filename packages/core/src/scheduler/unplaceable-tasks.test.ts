/** Demand for machines where placement limits what a pool's workers may be given. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import type {StepDefinition} from './types.js';

const capacity = {cpu: 8000, memoryMb: 100_000, gpu: 0};
/** Only one such task fits on a machine, though the sum of three is far below the capacity of three machines. */
const need = {cpu: 1000, memoryMb: 55_000, gpu: 0};

describe('a long-running task that no worker of its pool may take', () => {
	const workers = ['1', '2', '3'].map(id => createWorkerEntry(`w${id}`, `m${id}`));
	const machines = ['1', '2', '3'].map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`, capacity}));

	/** Submits long-running tasks to a pool of three machines and lets time pass while the platform lists its machines; returns the machines that were ordered. */
	function runTasks(step: Partial<StepDefinition>, spares: readonly string[]): {readonly placed: number; readonly ordered: string[]} {
		const listed = [...machines, ...spares.map(id => createMachineEntry(id, {pool: sparePoolName, capacity}))];
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listMachines(listed);
		leader.listWorkers(...workers);
		leader.run(50);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({need, isLongRunning: true, ...step})])}]});
		for (let round = 0; round < 6; round++) {
			leader.run(500);
			leader.listMachines(listed);
		}

		return {placed: [...leader.running.values()].flat().length, ordered: leader.listOrderedMachines()};
	}

	/** Guards against a demand for machines that counts room which placement cannot use. */
	it('gets another machine, though the pool has the room in sum', () => {
		expect(runTasks({count: 4}, ['s1'])).toEqual({placed: 3, ordered: ['s1']});
	});

	/** Guards against a request for machines that is repeated while the machine is on its way. */
	it('gets one machine, not one more with each look', () => {
		expect(runTasks({count: 4}, ['s1', 's2', 's3']).ordered.length).toEqual(1);
	});

	/** Guards against a pool that draws all spare machines for a task that could not run on any of them. */
	it('draws no machine if it would not go to an idle worker either', () => {
		expect(runTasks({count: 2, requiredLabel: 'no-such-label'}, ['s1', 's2'])).toEqual({placed: 0, ordered: []});
	});
});
