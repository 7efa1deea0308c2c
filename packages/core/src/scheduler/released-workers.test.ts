/** TWICE: the next process of a worker may carry out calls that were sent to it before its machine's upkeep. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {createMachineEntry, createWorkerEntry, ModelLeader} from './testing/model-leader.js';

const laterBornAt = 9;

/** A leader whose start at a machine's only worker was not answered; the job was cancelled, and the machine is in upkeep. */
function startUpkeepAfterLateStart(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines([createMachineEntry('m1', {workerId: 'w1'})]);
	leader.listWorkers(createWorkerEntry('w1', 'm1'));
	leader.run(50);
	leader.areStartsLost = true;
	const job = createJob(1, [createStep({count: 1})]);
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	leader.run(100);
	leader.push({type: 'intake/read', records: [{type: 'cancel', jobId: job.jobId}]});
	leader.run(200);
	leader.publishWave({machineIds: ['m1']});
	leader.run(200);
	expect(leader.listOrderedMachines()).toEqual(['m1']);
	leader.endOrder(leader.orders[0], 'done');
	leader.listWorkers();
	leader.run(200);
	return leader;
}

describe('a worker whose machine was ended by an order', () => {
	/** Guards against a late start that nobody stops, as the worker was forgotten with the order. */
	it('is told to stop an unanswered start when it is back under its id', () => {
		const leader = startUpkeepAfterLateStart();
		leader.stops.length = 0;
		leader.listWorkers({...createWorkerEntry('w1', 'm1'), bornAt: laterBornAt});
		leader.run(200);
		expect(leader.stops.map(({worker, run}) => [worker.id, worker.bornAt, run])).toEqual([['w1', laterBornAt, 1]]);
	});

	/** Guards against late calls that a new process takes for its own: their fencing token would be as high. */
	it('gets calls with a higher fencing token when it is back under its id', () => {
		const leader = startUpkeepAfterLateStart();
		const before = leader.state.workers.get('w1')?.restarts;
		leader.listWorkers({...createWorkerEntry('w1', 'm1'), bornAt: laterBornAt});
		leader.run(200);
		expect(leader.state.workers.get('w1')!.restarts > (before ?? 0)).toEqual(true);
	});

	/** Guards against a list that grows with each machine that was ever ended. */
	it('is forgotten once no call to it can be carried out any more', () => {
		const leader = startUpkeepAfterLateStart();
		leader.run(20_000);
		expect([...leader.state.workers.keys()]).toEqual([]);
	});
});
