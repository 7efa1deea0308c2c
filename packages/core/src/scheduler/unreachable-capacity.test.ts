/** Load of a pool while a part of its workers is cut off or set aside: machines that cannot be used do not count as capacity. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import {workerLeaseMs} from './timing.js';

const ids = ['1', '2', '3', '4'];
const workers = ids.map(id => createWorkerEntry(`w${id}`, `m${id}`));
const machines = [
	...ids.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`})),
	createMachineEntry('s1', {pool: sparePoolName, state: 'up'}),
];

/** A leader whose pool has one machine for each of four long-running tasks, which need a worker each, and one spare machine. */
function createLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines(machines);
	leader.listWorkers(...workers);
	leader.run(50);
	const job = createJob(1, [createStep({count: 4, isLongRunning: true, maxPerWorker: 1})]);
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	leader.run(500);
	expect([...leader.running.values()].flat().length).toEqual(4);
	return leader;
}

/** Lets time pass while the platform lists the machines. */
function runListed(leader: ModelLeader, forMs: number): void {
	for (const end = leader.now + forMs; leader.now < end;) {
		leader.run(500);
		leader.listMachines(machines);
	}
}

describe('a pool with exactly as many machines as it needs', () => {
	/** Guards against tasks that wait as long as a worker is out of reach although spare machines are free. */
	it('gets a spare machine when one of its workers is out of reach', () => {
		const leader = createLeader();
		leader.unreachableWorkers.add('w4');
		runListed(leader, 4 * workerLeaseMs);
		expect(leader.listOrderedMachines()).toEqual(['s1']);
	});

	it('gets a spare machine when one of its workers is set aside because it fails runs', () => {
		const leader = createLeader();
		const worker = leader.state.workers.get('w4')!;
		worker.quarantineCount = 1;
		worker.quarantinedUntil = leader.now + 60_000;
		runListed(leader, 1000);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.running.set('w4', []);
		runListed(leader, workerLeaseMs);
		expect(leader.listOrderedMachines()).toEqual(['s1']);
	});

	it('gets none while a worker has shrunk whose task goes on', () => {
		const leader = createLeader();
		leader.listWorkers(...workers.map(worker => worker.id === 'w4' ? {...worker, capacity: {cpu: 0, memoryMb: 0, gpu: 0}} : worker));
		runListed(leader, 4 * workerLeaseMs);
		expect(leader.listOrderedMachines()).toEqual([]);
		expect(leader.running.get('w4')?.length).toEqual(1);
	});

	it('gets none while all of its workers can be used', () => {
		const leader = createLeader();
		runListed(leader, 4 * workerLeaseMs);
		expect(leader.listOrderedMachines()).toEqual([]);
	});
});
