/** Machines after an outage of the store: while it lasted, no job could be accepted, so that the leader knows nothing of the present load. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {createMachineEntry, createWorkerEntry, ModelLeader} from './testing/model-leader.js';

const ids = ['1', '2', '3', '4', '5'];
const machines = ids.map(id => createMachineEntry(`m${id}`, {workerId: `w${id}`}));
const workers = ids.map(id => createWorkerEntry(`w${id}`, `m${id}`));
const job = createJob(1, [createStep({count: 5, isLongRunning: true, maxPerWorker: 1})]);
/** Longer than a leader keeps the recent need of a pool in mind. */
const busyMs = 6000;

/** A leader of five machines whose work has just ended. */
function createIdleLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines(machines);
	leader.listWorkers(...workers);
	leader.run(50);
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	leader.run(busyMs);
	leader.push({type: 'intake/read', records: [{type: 'cancel', jobId: job.jobId}]});
	leader.run(200);
	expect(leader.listOrderedMachines()).toEqual([]);
	return leader;
}

describe('idle machines of a pool', () => {
	it('go to the spare pool after some seconds, but for those that each pool keeps', () => {
		const leader = createIdleLeader();
		leader.run(4000);
		expect(leader.listOrderedMachines().length).toEqual(2);
	});

	/** Guards against pools that lack machines right after an outage because the leader has just turned the idle ones off. */
	it('stay available for some seconds after an outage of the store, until the load can be seen again', () => {
		const leader = createIdleLeader();
		leader.isStoreUnresponsive = true;
		leader.run(4000);
		leader.isStoreUnresponsive = false;
		leader.run(2000);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.run(3000);
		expect(leader.listOrderedMachines().length).toEqual(2);
	});

	/** Guards against machines that stay on for good beside a store that is slow but answers. */
	it('go to the spare pool although the store takes long to confirm each append', () => {
		const leader = createIdleLeader();
		leader.commitDelayMs = 700;
		leader.run(20_000);
		expect(leader.listOrderedMachines().length).toEqual(2);
	});
});
