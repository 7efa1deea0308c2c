/** The leader's view of machines: a list is valid as of its request, and only a complete list counts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {listRecentOrders} from './machine-orders.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';

const first = createMachineEntry('m1', {workerId: 'w1'});
const second = createMachineEntry('m2', {workerId: 'w2'});
const machineIds = ['m1', 'm2'];

/** A leader of two machines, each with an empty worker that was polled. */
function createLeader(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines([first, second]);
	leader.listWorkers(createWorkerEntry('w1', 'm1'), createWorkerEntry('w2', 'm2'));
	leader.run(50);
	return leader;
}

/** The same, with one machine in upkeep. */
function startUpkeep(): ModelLeader {
	const leader = createLeader();
	leader.publishWave({machineIds});
	leader.run(200);
	expect(leader.listOrderedMachines()).toEqual(['m1']);
	leader.endOrder(leader.orders[0], 'done');
	leader.listWorkers(createWorkerEntry('w2', 'm2'));
	return leader;
}

describe('a list of machines', () => {
	it('that was requested before an upkeep does not show that the machine has returned, however late it arrives', () => {
		const leader = startUpkeep();
		const requestedAt = leader.now - 10;
		leader.run(2400);
		leader.listMachines([first, second], requestedAt);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
		leader.listMachines([{...first, workerId: 'w3'}, second]);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1', 'm2']);
	});

	it('that was requested in an earlier leadership term does not allow orders to machines in this one', () => {
		const leader = createLeader();
		const requestedAt = leader.now;
		leader.run(500);
		leader.push({type: 'commit/ended', outcome: 'fenced', sequence: 0});
		leader.run(50);
		leader.takeLeadership(5);
		leader.publishWave({machineIds});
		leader.run(10);
		leader.listMachines([{...first, workerId: undefined}, {...second, workerId: undefined}], requestedAt);
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.listMachines([{...first, workerId: undefined}, {...second, workerId: undefined}]);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
	});
});

describe('the log of machine lists', () => {
	it('contains those that name other machines than before or took long, and no others', () => {
		const leader = createLeader();
		const list = {
			machines: 2, pages: 1, askedAgoMs: 0, tookMs: 5,
		};
		expect(leader.findLogs('machines-listed')).toEqual([list]);
		for (let count = 0; count < 5; count++) {
			leader.listMachines([first, {...second, state: 'down'}]);
		}

		expect(leader.findLogs('machines-listed')).toEqual([list]);
		leader.run(2000);
		leader.listMachines([first, second], leader.now - 800, 790);
		leader.listMachines([first]);
		expect(leader.findLogs('machines-listed')).toEqual([list, {...list, askedAgoMs: 800, tookMs: 790}, {...list, machines: 1}]);
	});
});

describe('a machine that is missing from a list', () => {
	it('keeps its order and counts as down, so that its wave takes down no more machines than allowed', () => {
		const leader = startUpkeep();
		for (let count = 0; count < 4; count++) {
			leader.run(300);
			leader.listMachines([second]);
		}

		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
		expect(leader.findLogs('machine-absent')).toEqual([{machineId: 'm1', order: 'upkeep'}]);
		leader.listMachines([{...first, state: 'upkeep', workerId: undefined}, second]);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
	});

	it('is removed after two lists in a row that were requested after it should have returned', () => {
		const leader = startUpkeep();
		leader.run(2000);
		leader.listMachines([second]);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
		leader.listMachines([second]);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1', 'm2']);
	});

	it('gets no order, and counts as down even without an order', () => {
		const leader = createLeader();
		leader.listMachines([second]);
		leader.publishWave({machineIds, maxDown: 1});
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.listMachines([first, second]);
		leader.run(200);
		// The machine that was drained in the meantime.
		expect(leader.listOrderedMachines()).toEqual(['m2']);
	});
});

describe('a machine gets an order only if it is empty', () => {
	it('so a list that still shows it in the spare pool does not cause a move while its worker has tasks', () => {
		const leader = createLeader();
		leader.listMachines([first, {...second, pool: sparePoolName}]);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 16, estimateMs: 5000})])}]});
		leader.run(1000);
		expect(leader.running.get('w2')?.length).toEqual(4);
		expect(leader.listOrderedMachines()).toEqual([]);
	});

	it('so a worker that is known only from the list must be polled first', () => {
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listMachines([first]);
		leader.publishWave({machineIds: ['m1']});
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.listWorkers(createWorkerEntry('w1', 'm1'));
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
	});

	it('so a poll since the decision must find no runs', () => {
		const leader = createLeader();
		leader.isStopIgnored = true;
		leader.unreachableWorkers.add('w1');
		leader.publishWave({machineIds: ['m1']});
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.running.set('w1', [{
			task: 'unknown', run: 1, checkpoint: '', percent: 1, reading: 0,
		}]);
		leader.unreachableWorkers.delete('w1');
		leader.run(1000);
		expect(leader.listOrderedMachines()).toEqual([]);
		leader.running.delete('w1');
		leader.run(4000);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
	});

	it('or if its worker does not answer and its lease has expired', () => {
		const leader = createLeader();
		leader.unreachableWorkers.add('w1');
		leader.publishWave({machineIds: ['m1']});
		leader.run(14_000);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
	});

	it('so an order is not repeated while a new process of its worker has tasks', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		// The starts are sent just before the orders are checked next.
		leader.run(210);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 8, estimateMs: 5000})])}]});
		leader.listWorkers({...createWorkerEntry('w1', 'm1'), bornAt: 2}, createWorkerEntry('w2', 'm2'));
		leader.run(20);
		expect(leader.running.get('w1')?.length).toEqual(4);
		leader.endOrder(leader.orders[0], 'unknown');
		leader.run(1000);
		expect(leader.listOrderedMachines()).toEqual(['m1']);
		expect(leader.findLogs('machine-order-dropped')).toEqual([{machineId: 'm1', order: 'upkeep', tasks: 4}]);
	});

	it('so a new worker on it gets no tasks until the outcome of the order is known', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		leader.run(200);
		leader.listWorkers(createWorkerEntry('w3', 'm1'), createWorkerEntry('w2', 'm2'));
		leader.run(100);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 8, estimateMs: 5000})])}]});
		leader.run(100);
		leader.endOrder(leader.orders[0], 'unknown');
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual(['m1', 'm1']);
		expect(leader.running.get('w3')).toEqual(undefined);
		leader.endOrder(leader.orders[1], 'done');
		leader.run(200);
		expect(leader.running.get('w3')?.length).toEqual(4);
	});

	it('and a worker that the list still shows after the order was carried out is used again', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		leader.run(200);
		leader.endOrder(leader.orders[0], 'done');
		leader.run(100);
		leader.listMachines([first, second]);
		leader.listWorkers(createWorkerEntry('w1', 'm1'), createWorkerEntry('w2', 'm2'));
		leader.run(200);
		expect(leader.state.workers.get('w1')?.isListed).toEqual(true);
	});
});

describe('an answer to an order', () => {
	it('from an earlier leadership term does not confirm the present order to the same machine', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		leader.run(200);
		leader.push({type: 'commit/ended', outcome: 'fenced', sequence: 0});
		leader.run(50);
		leader.takeLeadership(5);
		leader.run(50);
		leader.listWorkers(createWorkerEntry('w1', 'm1'));
		leader.listMachines([first, second]);
		leader.run(4000);
		expect(leader.listOrderedMachines()).toEqual(['m1', 'm1']);
		leader.endOrder(leader.orders[0], 'done');
		expect([...leader.state.waves.get(7)?.doneMachines ?? []]).toEqual([]);
		leader.endOrder(leader.orders[1], 'done');
		expect([...leader.state.waves.get(7)?.doneMachines ?? []]).toEqual(['m1']);
	});

	it('that arrives after repeats makes the next leader wait as long as after the last repeat', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		leader.run(200);
		for (let count = 0; count < 10; count++) {
			leader.endOrder(leader.orders.at(-1), 'unknown');
			leader.run(400);
		}

		leader.endOrder(leader.orders.at(-1), 'done');
		leader.run(1000);
		expect(listRecentOrders(leader.state)).toEqual(['m1']);
		leader.run(3000);
		expect(listRecentOrders(leader.state)).toEqual([]);
	});
});
