/** Maintenance waves: their pace during a burst, changes of the leader, completion, and replacement machines. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {getDemand} from './demand.js';
import {createSchedulerState, type Machine, type Wave} from './state.js';
import {createJob, createStep} from './testing/model-fleet.js';
import {
	createMachineEntry, createWorkerEntry, ModelLeader, sparePoolName,
} from './testing/model-leader.js';
import {modelSettings} from './testing/model-settings.js';
import {computeMaxDown, isDown} from './waves.js';

const machines = 120;
const maxDown = 44;

function createState() {
	return createSchedulerState(modelSettings);
}

function createWave(deadlineS: number): Wave {
	return {
		definition: {
			wave: 1, machineIds: Array.from({length: machines}, (_, index) => `m-${index}`), deadlineS, maxDown,
		}, doneMachines: new Set(), readAt: 0, isCompleted: false, completionCommit: undefined, reported: 'none', reportDueAt: 0,
	};
}

describe('a wave of upkeep during a burst', () => {
	it('takes down as many machines as allowed while no pool lacks any', () => {
		expect(computeMaxDown(createState(), createWave(30), machines)).toEqual(maxDown);
	});

	it('takes down only as many as its deadline requires while a pool lacks machines', () => {
		const state = createState();
		getDemand(state, 'p').missing = 20;
		const allowed = computeMaxDown(state, createWave(30), machines);
		expect(allowed < maxDown / 2).toEqual(true);
		const downMs = 3500;
		expect(allowed * (30_000 / downMs) >= machines).toEqual(true);
	});

	it('takes down as many as allowed when its deadline is near', () => {
		const state = createState();
		getDemand(state, 'p').missing = 20;
		state.now = 25_000;
		expect(computeMaxDown(state, createWave(30), machines)).toEqual(maxDown);
	});
});

describe('a wave whose leader changes', () => {
	function createMachine(changes: Partial<Machine>, state: Machine['entry']['state'] = 'up'): Machine {
		return {
			entry: {
				id: 'm', pool: 'p', state, availabilityZone: 'a', labels: [], capacity: {cpu: 1, memoryMb: 1, gpu: 0}, workerId: undefined,
			}, order: undefined, absentSince: undefined, orderEndedAt: 0, drainingForWave: undefined, notBefore: 0, ...changes,
		};
	}

	it('counts machines as down whose upkeep the former leader ordered or may have ordered', () => {
		const state = createState();
		state.now = 1000;
		expect(isDown(state, createMachine({}))).toEqual(false);
		expect(isDown(state, createMachine({}, 'upkeep'))).toEqual(true);
		expect(isDown(state, createMachine({notBefore: 2000}))).toEqual(true);
	});
});

describe('a wave that an earlier leader completed', () => {
	/** Guards against a new leader that considers the wave open, reports it as running, and orders the upkeep of a machine that was listed again. */
	it('stays completed, and nothing is ordered for it', () => {
		const leader = ModelLeader.create();
		leader.push({
			type: 'ledger/read', entries: [{offset: 0, record: {type: 'waves', waves: [{wave: 7, doneMachines: ['m1'], isCompleted: true}]}}], nextOffset: 1,
		});
		leader.takeLeadership(1);
		leader.publishWave({machineIds: ['m1', 'm9']});
		leader.run(50);
		leader.listMachines([createMachineEntry('m1'), createMachineEntry('m9')]);
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual([]);
		expect(leader.reports.filter(({isCompleted}) => !isCompleted)).toEqual([]);
	});
});

describe('the completion of a wave', () => {
	const first = createMachineEntry('m1', {workerId: 'w1'});
	const joined = createMachineEntry('m2');
	const machineIds = ['m2'];

	function createLeader(): ModelLeader {
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listMachines([first]);
		leader.listWorkers(createWorkerEntry('w1', 'm1'));
		leader.run(50);
		return leader;
	}

	it('does not happen because its machine joined after the latest list', () => {
		const leader = createLeader();
		leader.publishWave({machineIds});
		leader.run(200);
		expect(leader.findLogs('wave-completed')).toEqual([]);
		leader.listMachines([first, joined]);
		leader.run(200);
		expect(leader.listOrderedMachines()).toEqual(['m2']);
	});

	it('needs more than one list without its machines, and does not count a list requested before the wave was read', () => {
		const leader = createLeader();
		const requestedAt = leader.now;
		leader.run(10);
		leader.publishWave({machineIds});
		leader.listMachines([first], requestedAt);
		leader.run(200);
		leader.listMachines([first]);
		leader.run(200);
		expect(leader.findLogs('wave-completed')).toEqual([]);
		leader.listMachines([first]);
		leader.run(50);
		expect(leader.findLogs('wave-completed')).toEqual([expect.subset({done: 0, absent: 1, absentMachines: 'm2'})]);
	});

	it('does not happen because of one empty list', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		leader.listMachines([]);
		leader.run(200);
		expect(leader.findLogs('wave-completed')).toEqual([]);
	});

	it('is reported only after the ledger has stored it', () => {
		const leader = createLeader();
		leader.publishWave({machineIds});
		leader.isStoreUnresponsive = true;
		leader.listMachines([first]);
		leader.listMachines([first]);
		leader.run(400);
		expect(leader.findLogs('wave-completed').length).toEqual(1);
		expect(leader.reports.filter(({isCompleted}) => isCompleted)).toEqual([]);
		leader.isStoreUnresponsive = false;
		leader.run(700);
		expect(leader.reports.at(-1)).toEqual({type: 'wave/report', wave: 7, isCompleted: true});
	});
});

describe('a machine of a wave whose long-running task must stay, as another task of its step finds no free capacity', () => {
	const machines = ['m1', 'm2'].map(id => createMachineEntry(id));
	const lost = createMachineEntry('m3');
	const spare = createMachineEntry('s1', {pool: sparePoolName});
	const workers = [createWorkerEntry('w1', 'm1'), createWorkerEntry('w2', 'm2')];

	it('is replaced by a spare machine instead of draining forever', () => {
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listMachines([...machines, lost, spare]);
		leader.listWorkers(...workers);
		leader.run(50);
		const step = createStep({
			count: 4, need: {cpu: 100, memoryMb: 100, gpu: 0}, isLongRunning: true, maxPerWorker: 2, maxUnavailable: 1,
		});
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [step])}]});
		leader.run(500);
		leader.listWorkers(...workers, createWorkerEntry('w3', 'm3'));
		leader.run(1000);
		leader.publishWave({machineIds: ['m2']});
		leader.run(400);
		expect(['w1', 'w2', 'w3'].map(id => leader.running.get(id)?.length)).toEqual([2, 1, 1]);
		// The task that was moved to another machine is lost with its worker.
		leader.running.delete('w3');
		leader.listWorkers(...workers);
		leader.push({
			type: 'poll/ended', workerId: 'w3', bornAt: 1, outcome: 'other-life', sentAt: leader.now, isExtra: false, clockMs: undefined, answerBornAt: undefined, running: [], ended: [],
		});
		leader.listMachines([...machines, spare]);
		leader.listMachines([...machines, spare]);
		leader.run(2000);
		expect(leader.listOrderedMachines()).toEqual(['s1']);
	});
});

describe('a machine of a wave whose long-running task needs a label', () => {
	const labelled = createWorkerEntry('w1', 'm1');
	const others = [createWorkerEntry('w2', 'm2'), createWorkerEntry('w3', 'm3')].map(worker => ({...worker, labels: ['b', 'r-2']}));

	/** Guards against a task that is stopped because a worker has room on which it must not run, and then stays away. */
	it('keeps it while no other worker has the label, though others have room', () => {
		const leader = ModelLeader.create();
		leader.run(50);
		leader.listMachines(['m1', 'm2', 'm3'].map(id => createMachineEntry(id)));
		leader.listWorkers(labelled, ...others);
		leader.run(50);
		leader.push({type: 'intake/read', records: [{type: 'job', job: createJob(1, [createStep({count: 1, isLongRunning: true, requiredLabel: 'a'})])}]});
		leader.run(1000);
		leader.publishWave({machineIds: ['m1']});
		leader.run(2000);
		expect(leader.running.get('w1')?.length).toEqual(1);
	});
});

describe('a machine of a wave whose worker is about to leave', () => {
	/** Guards against orders that the platform refuses, which hold the place of a machine that could be down instead. */
	it('is passed over as long as its worker drains', () => {
		const leader = ModelLeader.create();
		const ids = ['m1', 'm2'];
		leader.run(50);
		leader.listMachines(ids.map(id => createMachineEntry(id, {workerId: `w${id}`})));
		const [leaving, staying] = ids.map(id => createWorkerEntry(`w${id}`, id));
		leader.listWorkers({...leaving!, isDraining: true, remainingMs: 6000}, staying!);
		leader.run(50);
		leader.publishWave({machineIds: ids});
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual(['m2']);
		leader.endOrder(leader.orders[0], 'done');
		leader.run(3000);
		expect(leader.listOrderedMachines()).toEqual(['m2']);
		leader.listMachines(ids.map(id => createMachineEntry(id, {workerId: `w${id}`})));
		leader.listWorkers(leaving!, {...staying!, bornAt: 2});
		leader.run(500);
		expect(leader.listOrderedMachines()).toEqual(ids.toReversed());
	});
});
