/** Upkeep beside a burst: a wave with time to spare leaves machines to the pools that lack some. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {getDemand} from './demand.js';
import {createSchedulerState, type Machine, type Wave} from './state.js';
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
		}, doneMachines: new Set(), readAt: 0, isCompleted: false, reported: 'none', reportDueAt: 0,
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
