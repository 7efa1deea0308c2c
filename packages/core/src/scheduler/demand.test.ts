/** Demand by turns: machines are asked for when a pool's turn begins, and kept through a short lull. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {getDemand, updateDemand} from './demand.js';
import {addResources} from './resources.js';
import {createSchedulerState} from './state.js';
import {modelSettings} from './testing/model-settings.js';

const machine = {cpu: 64_000, memoryMb: 256_000, gpu: 0};
const lookMs = 150;

function createState() {
	return createSchedulerState(modelSettings);
}

/** Follows a rate of arriving work (processor) for some time; returns the machines needed at each look. */
function follow(state: ReturnType<typeof createState>, cpu: number, forMs: number): number[] {
	const needed: number[] = [];
	for (let spent = 0; spent < forMs; spent += lookMs) {
		state.now += lookMs;
		const demand = getDemand(state, 'p');
		demand.arrivedWork = addResources(demand.arrivedWork, {cpu, memoryMb: 0, gpu: 0}, lookMs);
		needed.push(updateDemand(state, 'p', machine).machines);
	}

	return needed;
}

describe('demand by turns', () => {
	it('asks for most of the machines of a turn within half a second of its beginning', () => {
		const state = createState();
		getDemand(state, 'p');
		follow(state, 10_000, 3000);
		const needed = follow(state, 800_000, 600);
		const settled = follow(state, 800_000, 3000).at(-1)!;
		expect(settled >= 15).toEqual(true);
		expect(needed[2]! >= settled * 0.6).toEqual(true);
	});

	it('keeps the highest need through a lull of two seconds, and no longer than four', () => {
		const state = createState();
		getDemand(state, 'p');
		follow(state, 800_000, 3000);
		const most = getDemand(state, 'p').peakMachines;
		follow(state, 0, 2000);
		expect(getDemand(state, 'p').peakMachines).toEqual(most);
		follow(state, 0, 3000);
		expect(getDemand(state, 'p').peakMachines < most / 2).toEqual(true);
	});

	it('asks for machines for work that waits', () => {
		const state = createState();
		const demand = getDemand(state, 'p');
		demand.waitingWork = {cpu: 640_000 * 1500, memoryMb: 0, gpu: 0};
		demand.waitingTasks = 100;
		state.now += lookMs;
		expect(updateDemand(state, 'p', machine).machines >= 10).toEqual(true);
	});

	it('asks for machines by memory where long-running tasks fill it before the processors', () => {
		const state = createState();
		const demand = getDemand(state, 'p');
		demand.waitingLongRunning = {cpu: 160_000, memoryMb: 1_280_000, gpu: 0};
		demand.waitingTasks = 24;
		state.now += lookMs;
		expect(updateDemand(state, 'p', machine).machines >= 5).toEqual(true);
	});

	it('asks for more than the rate while it rises, as machines come late', () => {
		const state = createState();
		getDemand(state, 'p');
		follow(state, 100_000, 3000);
		let cpu = 100_000;
		let needed = 0;
		for (let look = 0; look < 10; look++) {
			cpu += 50_000;
			needed = follow(state, cpu, lookMs).at(-1)!;
		}

		expect(needed * machine.cpu >= cpu).toEqual(true);
	});
});
