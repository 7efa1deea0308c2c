/** Demand for machines where the idle workers of a pool have shrunk, so that a waiting task fits on another machine only. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';

const capacity = {cpu: 8000, memoryMb: 100_000, gpu: 0};
/** Two such workers offer as much as one machine, but neither has room for the task. */
const half = {...capacity, cpu: 4000};
const need = {cpu: 5000, memoryMb: 1000, gpu: 0};
const ids = ['1', '2'];

/** Submits one long-running task to a pool with two idle workers; returns the machines that were ordered. */
function runTask(offered: typeof capacity, requiredLabel: string): string[] {
	const listed = [
		...ids.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`, capacity})),
		...['s1', 's2', 's3'].map(id => createMachineEntry(id, {pool: sparePoolName, capacity})),
	];
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines(listed);
	leader.listWorkers(...ids.map(id => ({...createWorkerEntry(`w${id}`, `m${id}`), capacity: offered})));
	leader.run(50);
	const step = createStep({
		count: 1, need, isLongRunning: true, requiredLabel,
	});
	leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [step])}]});
	for (let round = 0; round < 12; round++) {
		leader.run(500);
		leader.listMachines(listed);
	}

	return leader.listOrderedMachines();
}

describe('idle workers that could not take a task', () => {
	/** Guards against a long-running task that waits for good, because a worker that has shrunk below its need is idle. */
	it('do not hide the need for a machine if they have shrunk', () => {
		expect(runTask(half, '')).toEqual(['s1']);
	});

	/** Guards against spare machines that are drawn for a task that could not run on any of them. */
	it('show that another machine would not help if they offer all of theirs', () => {
		expect(runTask(capacity, 'no-such-label')).toEqual([]);
	});

	/** Guards against spare machines that are drawn one after another for a label that none of them has. */
	it('draw no more machines than the task needs if they have shrunk and no machine would help', () => {
		expect(runTask(half, 'no-such-label').length <= 1).toEqual(true);
	});
});
