/** Upkeep beside a burst: a wave with time to spare leaves machines to the pools that lack some. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {getDemand} from './demand.js';
import {createSchedulerState, type Machine, type Wave} from './state.js';
import {createMachineEntry, createWorkerEntry, ModelLeader} from './testing/model-leader.js';
import {modelSettings} from './testing/model-settings.js';
import {computePace, isDown} from './waves.js';

const machines = 120;
const maxDown = 44;

function createState() {
	return createSchedulerState(modelSettings);
}

function createWave(deadlineS: number): Wave {
	return {
		definition: {
			wave: 1, machineIds: Array.from({length: machines}, (_, index) => `m-${index}`), deadlineS, maxDown,
		}, doneMachines: new Set(), readAt: 0, isCompleted: false, storedBy: undefined, reported: 'none', reportDueAt: 0,
	};
}

describe('a wave of upkeep beside a burst', () => {
	it('takes as many machines as allowed while no pool lacks any', () => {
		expect(computePace(createState(), createWave(30), machines)).toEqual(maxDown);
	});

	it('takes only as many as its deadline asks for while a pool lacks machines', () => {
		const state = createState();
		getDemand(state, 'p').missing = 20;
		const pace = computePace(state, createWave(30), machines);
		expect(pace < maxDown / 2).toEqual(true);
		const heldMs = 3500;
		expect(pace * (30_000 / heldMs) >= machines).toEqual(true);
	});

	it('takes as many as allowed once its time is short', () => {
		const state = createState();
		getDemand(state, 'p').missing = 20;
		state.now = 25_000;
		expect(computePace(state, createWave(30), machines)).toEqual(maxDown);
	});
});

describe('a wave whose leader changes', () => {
	function createMachine(changes: Partial<Machine>, state: Machine['entry']['state'] = 'up'): Machine {
		return {
			entry: {
				id: 'm', pool: 'p', state, availabilityZone: 'a', labels: [], capacity: {cpu: 1, memoryMb: 1, gpu: 0}, workerId: undefined,
			}, order: undefined, absentSince: undefined, orderEndedAt: 0, drainsFor: undefined, notBefore: 0, ...changes,
		};
	}

	it('counts machines that the former leader sent into upkeep, or may have', () => {
		const state = createState();
		state.now = 1000;
		expect(isDown(state, createMachine({}))).toEqual(false);
		expect(isDown(state, createMachine({}, 'upkeep'))).toEqual(true);
		expect(isDown(state, createMachine({notBefore: 2000}))).toEqual(true);
	});
});

describe('a wave is completed', () => {
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

	it('not because its machine joined after the latest list', () => {
		const leader = createLeader();
		leader.publishWave({machineIds});
		leader.run(200);
		expect(leader.findLogs('wave-completed')).toEqual([]);
		leader.listMachines([first, joined]);
		leader.run(200);
		expect(leader.listOrdered()).toEqual(['m2']);
	});

	it('not by one list without its machines, nor by one that was asked for before the wave was read', () => {
		const leader = createLeader();
		const askedAt = leader.now;
		leader.run(10);
		leader.publishWave({machineIds});
		leader.listMachines([first], askedAt);
		leader.run(200);
		leader.listMachines([first]);
		leader.run(200);
		expect(leader.findLogs('wave-completed')).toEqual([]);
		leader.listMachines([first]);
		leader.run(50);
		expect(leader.findLogs('wave-completed')).toEqual([expect.subset({done: 0, absent: 1, absentMachines: 'm2'})]);
	});

	it('not because an empty list came', () => {
		const leader = createLeader();
		leader.publishWave({machineIds: ['m1']});
		leader.listMachines([]);
		leader.run(200);
		expect(leader.findLogs('wave-completed')).toEqual([]);
	});

	it('and its status says so only when the ledger has stored it', () => {
		const leader = createLeader();
		leader.publishWave({machineIds});
		leader.isStoreSilent = true;
		leader.listMachines([first]);
		leader.listMachines([first]);
		leader.run(400);
		expect(leader.findLogs('wave-completed').length).toEqual(1);
		expect(leader.reports.filter(({isCompleted}) => isCompleted)).toEqual([]);
		leader.isStoreSilent = false;
		leader.run(700);
		expect(leader.reports.at(-1)).toEqual({type: 'wave/report', wave: 7, isCompleted: true});
	});
});
