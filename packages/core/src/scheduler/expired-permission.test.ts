/** A leader that was paused may have been replaced meanwhile: it does not act on what it was allowed to do before the pause. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader,
} from './testing/model-leader.js';
import {unconfirmedLimitMs} from './timing.js';

const stepMs = 5;
/** Long enough for another host to take the lead, whose tasks then run on the machine. */
const pauseMs = 5000;

/** A leader that has just sent the append that must be stored before a machine is ordered to its upkeep. */
function createLeaderAboutToOrder(): ModelLeader {
	const leader = ModelLeader.create();
	leader.run(50);
	leader.listMachines([createMachineEntry('m1', {workerId: 'w1'})]);
	leader.listWorkers(createWorkerEntry('w1', 'm1'));
	leader.run(50);
	leader.publishWave({machineIds: ['m1']});
	while (!leader.state.leadership.commit?.records.some(({type}) => type === 'orders')) {
		leader.run(stepMs);
	}

	expect(leader.orders).toEqual([]);
	return leader;
}

describe('an order to a machine whose permission has run out', () => {
	/** Guards against a paused leader that ends the tasks which its successor has started on the machine. */
	it('is not sent when its append is confirmed after a pause', () => {
		const leader = createLeaderAboutToOrder();
		leader.isStoreUnresponsive = true;
		leader.freeze(pauseMs);
		leader.run(500);
		expect(leader.orders).toEqual([]);
	});

	/** The same where the monotonic clock stands still during the pause, so that no time seems to have passed. */
	it('is not sent when its append is confirmed after the host was suspended', () => {
		const leader = createLeaderAboutToOrder();
		leader.isStoreUnresponsive = true;
		leader.suspend(pauseMs);
		leader.run(500);
		expect(leader.orders).toEqual([]);
	});

	it('is sent once after the store has confirmed that the host still leads', () => {
		for (const pause of ['freeze', 'suspend'] as const) {
			const leader = createLeaderAboutToOrder();
			leader[pause](pauseMs);
			leader.run(500);
			expect(leader.listOrderedMachines()).toEqual(['m1']);
		}
	});
});

describe('a leader whose wall clock is set forward', () => {
	it('goes on as soon as the store has confirmed that it still leads', () => {
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listWorkers(createWorkerEntry('w1', 'm1'));
		leader.run(50);
		leader.suspend(pauseMs);
		leader.run(100);
		expect(leader.state.leadership.role).toEqual('leader');
		expect(leader.now - leader.state.leadership.confirmedAt < 100).toEqual(true);
	});
});

describe('a start whose permission has run out', () => {
	/** Guards against a start after the time for which a successor waits before it runs the task elsewhere. */
	it('is not sent when its append is confirmed later than a successor waits for', () => {
		for (const pause of ['freeze', 'suspend'] as const) {
			const leader = ModelLeader.create();
			leader.run(50);
			leader.listWorkers(createWorkerEntry('w1', 'm1'));
			leader.run(50);
			leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 1})])}]});
			expect(leader.state.leadership.commit === undefined).toEqual(false);
			leader.isStoreUnresponsive = true;
			leader[pause](unconfirmedLimitMs);
			leader.run(500);
			expect(leader.running.size).toEqual(0);
		}
	});
});
