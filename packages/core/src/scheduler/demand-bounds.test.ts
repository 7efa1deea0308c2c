/** Bounds of a pool's demand under the load of its fleets: jobs of one or two steps of 8 tasks, steady and in bursts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ModelPool} from './testing/model-pool.js';

const seeds = [1, 2, 3, 4, 5];
const burst = 100;
const mean = burst / 5;
const lull = mean / 20;
const busyMachines = ModelPool.countBusyMachines(burst);

describe('the demand of a pool', () => {
	/** Guards against a demand of two to four times the machines in use: the averaged rate varied too much, and errors of declared run times were counted twice. */
	for (const declaredDeviation of [0, 0.5]) {
		it(`stays within 1.5 times what a steady load uses if declared run times deviate by ${declaredDeviation}`, () => {
			for (const seed of seeds) {
				const pool = ModelPool.create(seed, {declaredDeviation});
				pool.run(burst, 10_000);
				const demands = pool.run(burst, 30_000).map(({machines}) => machines / busyMachines);
				expect(Math.max(...demands)).toBeLessThanOrEqual(1.5);
				expect(Math.min(...demands)).toBeGreaterThanOrEqual(1);
			}
		});
	}

	/** Guards against machines that are requested only when the queue of a burst has grown. */
	for (const before of [mean, lull]) {
		it(`reaches a burst of ${burst} jobs a second after ${before} within 500 ms`, () => {
			for (const seed of seeds) {
				const pool = ModelPool.create(seed);
				pool.run(before, 20_000);
				const demands = pool.run(burst, 500).map(({machines}) => machines / busyMachines);
				expect(Math.max(...demands)).toBeGreaterThanOrEqual(1);
			}
		});
	}

	/** Guards against a demand that adds the rise of the rate and the waiting work of the burst to what it already counts. */
	it('stays within 1.5 times what a burst uses once no task waits, and falls within a second of its end', () => {
		for (const seed of seeds) {
			const pool = ModelPool.create(seed, {present: 3});
			pool.run(lull, 20_000);
			for (let cycle = 0; cycle < 3; cycle++) {
				const demands = pool.run(burst, 5000).filter(({waitingTasks}) => waitingTasks === 0).map(({machines}) => machines / busyMachines);
				expect(Math.max(0, ...demands)).toBeLessThanOrEqual(1.5);
				pool.run(lull, 1000);
				const after = pool.run(lull, 14_000).filter(({waitingTasks}) => waitingTasks === 0).map(({machines}) => machines / busyMachines);
				expect(Math.max(...after)).toBeLessThanOrEqual(0.5);
			}
		}
	});
});
