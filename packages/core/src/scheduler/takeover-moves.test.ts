/** Load right after a takeover: a new leader gets machines to pools that lack them as soon as it has seen the list of machines. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import {modelSettings} from './testing/model-settings.js';

const listed = [
	createMachineEntry('m1', {workerId: 'w1'}),
	// The platform names the worker that a spare machine will run, although the machine is off.
	createMachineEntry('s1', {pool: sparePoolName, workerId: 'w-of-s1'}),
];

/** A leader whose only worker cannot take the two tasks that wait. */
function createShortLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines(listed);
	leader.listWorkers(createWorkerEntry('w1', 'm1'));
	leader.run(50);
	const job = createJob(1, [createStep({count: 2, isLongRunning: true, maxPerWorker: 1})]);
	leader.push({type: 'intake/read', records: [{type: 'job', job}]});
	return leader;
}

describe('a new leader', () => {
	/** Guards against pools that wait 9.5 s after each change of the leader, longer than changes are apart in a rolling restart. */
	it('moves a spare machine at once, as nothing runs on a machine that is off', () => {
		const leader = createShortLeader();
		leader.run(1000);
		expect(leader.listOrderedMachines()).toEqual(['s1']);
	});
});

describe('a leader whose orders are all old', () => {
	/** Guards against a successor that leaves machines alone for seconds because they were ordered long ago. */
	it('tells its successor that there are none', () => {
		const leader = createShortLeader();
		leader.run(1000);
		leader.endOrder(leader.orders[0], 'done');
		const {records} = leader;
		const findOrders = () => records.findLast(record => record.type === 'orders')?.machineIds;
		expect(findOrders()).toEqual(['s1']);
		leader.run(modelSettings.orderLeaseMs - 500);
		expect(findOrders()).toEqual(['s1']);
		leader.run(1500);
		expect(findOrders()).toEqual([]);
	});
});

describe('a leader that was replaced soon after it took over', () => {
	/** Guards against the orders of two leaders for one machine within the order lease, with a third leader between them. */
	it('tells its successor also which machines its predecessor has ordered lately', () => {
		const leader = ModelLeader.create();
		leader.push({type: 'commit/ended', outcome: 'fenced', sequence: 0});
		leader.state.storedOrders = new Set(['m9']);
		leader.takeLeadership(5);
		leader.listMachines(listed);
		leader.listWorkers(createWorkerEntry('w1', 'm1'));
		leader.run(50);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 2, isLongRunning: true, maxPerWorker: 1})])}]});
		leader.run(1000);
		const orders = leader.records.findLast(record => record.type === 'orders');
		expect(new Set(orders?.machineIds)).toEqual(new Set(['m9', 's1']));
	});
});
