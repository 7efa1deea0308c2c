/** Known failures, described in KNOWN-RED.txt. Load of a pool whose workers have shrunk: its machines count by the room that their workers have. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-jobs.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import type {Resources} from './types.js';

const ids = ['1', '2', '3', '4'];
const workers = ids.map(id => createWorkerEntry(`w${id}`, `m${id}`));
const machines = [
	...ids.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`})),
	createMachineEntry('s1', {pool: sparePoolName, state: 'up'}),
	createMachineEntry('s2', {pool: sparePoolName, state: 'up'}),
];
const noRoom: Resources = {cpu: 0, memoryMb: 0, gpu: 0};

/** Lists the workers; those named have the given capacity. */
function listWorkers(leader: ModelLeader, capacity: Resources, ...shrunkIds: readonly string[]): void {
	leader.listWorkers(...workers.map(worker => shrunkIds.includes(worker.id) ? {...worker, capacity} : worker));
}

function createLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines(machines);
	listWorkers(leader, noRoom);
	leader.run(50);
	return leader;
}

/** Lets time pass while the platform lists the machines. */
function runListed(leader: ModelLeader, forMs: number): void {
	for (const end = leader.now + forMs; leader.now < end;) {
		leader.run(500);
		leader.listMachines(machines);
	}
}

function submitSpreadTasks(leader: ModelLeader): void {
	const job = createJob(1, [createStep({count: 4, isLongRunning: true, maxPerWorker: 1})]);
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	leader.run(500);
}

describe('a pool whose workers have shrunk', () => {
	/** Guards against tasks that wait for room in a pool that has machines enough, though not the room of that many. */
	it('gets a spare machine for a task that has no room on a shrunk worker', () => {
		const leader = createLeader();
		submitSpreadTasks(leader);
		listWorkers(leader, noRoom, 'w4');
		leader.running.set('w4', []);
		runListed(leader, 3000);
		expect(leader.listOrderedMachines()).toEqual(['s1']);
	});

	it('gets spare machines for work that the rest of its room cannot do in time', () => {
		const leader = createLeader();
		listWorkers(leader, {cpu: 2000, memoryMb: 100_000, gpu: 0}, 'w1', 'w2', 'w3', 'w4');
		const job = createJob(1, [createStep({count: 8, isLongRunning: true, estimateMs: 60_000})]);
		leader.push({type: 'intake/read', records: [{type: 'job', job}]});
		runListed(leader, 2000);
		expect(leader.listOrderedMachines().length > 0).toEqual(true);
	});
});
