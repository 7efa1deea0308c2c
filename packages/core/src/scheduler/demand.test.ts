/** Demand of a pool under bursts: machines are requested when a burst begins, and kept through a short lull. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {getDemand, updateDemand} from './demand.js';
import {addResources} from './resources.js';
import {createSchedulerState} from './state.js';
import {modelSettings} from './testing/model-settings.js';

const machine = {cpu: 64_000, memoryMb: 256_000, gpu: 0};
const updateMs = 150;

function createState() {
	return createSchedulerState(modelSettings);
}

/** Lets work for the processor arrive at a constant rate for some time; returns the machines needed after each update. */
function addConstantLoad(state: ReturnType<typeof createState>, cpu: number, forMs: number): number[] {
	const needed: number[] = [];
	for (let spent = 0; spent < forMs; spent += updateMs) {
		state.now += updateMs;
		const demand = getDemand(state, 'p');
		demand.arrivedWork = addResources(demand.arrivedWork, {cpu, memoryMb: 0, gpu: 0}, updateMs);
		needed.push(updateDemand(state, 'p', machine).machines);
	}

	return needed;
}

describe('demand of a pool under bursts', () => {
	it('requests most of the machines for a burst within half a second of its beginning', () => {
		const state = createState();
		getDemand(state, 'p');
		addConstantLoad(state, 10_000, 3000);
		const needed = addConstantLoad(state, 800_000, 600);
		const settled = addConstantLoad(state, 800_000, 3000).at(-1)!;
		expect(settled >= 15).toEqual(true);
		expect(needed[2]! >= settled * 0.6).toEqual(true);
	});

	it('keeps the peak through a lull of two seconds, but not of five', () => {
		const state = createState();
		getDemand(state, 'p');
		addConstantLoad(state, 800_000, 3000);
		const peak = getDemand(state, 'p').peakMachines;
		addConstantLoad(state, 0, 2000);
		expect(getDemand(state, 'p').peakMachines).toEqual(peak);
		addConstantLoad(state, 0, 3000);
		expect(getDemand(state, 'p').peakMachines < peak / 2).toEqual(true);
	});

	it('requests machines for waiting work', () => {
		const state = createState();
		const demand = getDemand(state, 'p');
		demand.waitingWork = {cpu: 640_000 * 1500, memoryMb: 0, gpu: 0};
		demand.waitingTasks = 100;
		state.now += updateMs;
		expect(updateDemand(state, 'p', machine).machines >= 10).toEqual(true);
	});

	it('requests machines by memory if long-running tasks fill it before the processors', () => {
		const state = createState();
		const demand = getDemand(state, 'p');
		demand.waitingLongRunning = {cpu: 160_000, memoryMb: 1_280_000, gpu: 0};
		demand.waitingTasks = 24;
		state.now += updateMs;
		expect(updateDemand(state, 'p', machine).machines >= 5).toEqual(true);
	});

	it('requests more than the rate needs while it rises, as machines take time to join', () => {
		const state = createState();
		getDemand(state, 'p');
		addConstantLoad(state, 100_000, 3000);
		let cpu = 100_000;
		let needed = 0;
		for (let update = 0; update < 10; update++) {
			cpu += 50_000;
			needed = addConstantLoad(state, cpu, updateMs).at(-1)!;
		}

		expect(needed * machine.cpu >= cpu).toEqual(true);
	});
});
