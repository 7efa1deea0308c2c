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

	/** Guards against a leader that takes jobs which it cannot see for jobs that do not come, because its own ledger answers. */
	it('stay available while the stream of jobs is away, and for some seconds after', () => {
		const leader = createIdleLeader();
		leader.isIntakeAway = true;
		leader.run(4000);
		leader.isIntakeAway = false;
		leader.run(2000);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.run(3000);
		expect(leader.listOrderedMachines().length).toEqual(2);
	});

	/** Guards against the same in the first seconds, in which the stream does not count as away yet. */
	it('do not count as idle for longer while no job can be seen', () => {
		const leader = createIdleLeader();
		leader.run(400);
		leader.isIntakeAway = true;
		leader.run(10_000);
		expect(leader.listOrderedMachines()).toEqual([]);
	});

	/** Guards against machines that stay on for good beside a store whose reads are slow. */
	it('go to the spare pool although the stream of jobs is read to its end only now and then', () => {
		const leader = createIdleLeader();
		for (let index = 0; index < 10; index++) {
			leader.isIntakeAway = true;
			leader.run(1700);
			leader.isIntakeAway = false;
			leader.run(100);
		}

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
