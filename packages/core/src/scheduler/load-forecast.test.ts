/** Forecast of bursts: right where they are periodic, and without effect where they are not. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createLoadForecast, getExpectedBurst, updateForecast} from './load-forecast.js';
import {ModelPools} from './testing/model-pools.js';
import {ModelTime} from './testing/model-time.js';

const updateMs = 150;
const burstMs = 5000;
const height = 20;
const moveMs = 1900;

/** Feeds bursts after the given pauses; returns how long before the begin of each burst it was expected, and for how long in all. */
function feedBursts(pausesMs: readonly number[]): {readonly expectedMs: number[]; readonly aheadMs: number[]} {
	const forecast = createLoadForecast();
	const expectedMs: number[] = [];
	const aheadMs: number[] = [];
	let now = 0;
	for (const pauseMs of pausesMs) {
		const begin = now + pauseMs;
		let first = begin;
		let sum = 0;
		for (; now < begin + burstMs; now += updateMs) {
			updateForecast(forecast, now, now < begin ? 0.3 : height);
			if (getExpectedBurst(forecast, now, moveMs) > 0) {
				first = Math.min(first, now);
				sum += updateMs;
			}
		}

		expectedMs.push(sum);
		aheadMs.push(begin - first);
	}

	return {expectedMs, aheadMs};
}

describe('the forecast of bursts', () => {
	/** Guards against machines that arrive one move after the begin of each burst of a periodic load. */
	it('expects periodic bursts a move ahead once three predictions were right, and gives up one that does not come', () => {
		const time = ModelTime.create(1);
		const {aheadMs, expectedMs} = feedBursts([...Array.from({length: 10}, () => 15_000 + time.draw(-300, 300)), 60_000]);
		expect(aheadMs.slice(0, 5)).toEqual([0, 0, 0, 0, 0]);
		expect(Math.min(...aheadMs.slice(5, 10))).toBeGreaterThanOrEqual(1500);
		expect(expectedMs[10]!).toBeLessThanOrEqual(moveMs + 1500);
	});

	/** Guards against machines that are moved for bursts that do not come: 100 bursts at random intervals. */
	for (const seed of [1, 2, 3, 4, 5]) {
		it(`has no effect where bursts come at random (seed ${seed})`, () => {
			const time = ModelTime.create(seed);
			const {expectedMs} = feedBursts(Array.from({length: 100}, () => time.draw(1500, 35_000)));
			expect(expectedMs.reduce((sum, ms) => sum + ms, 0)).toEqual(0);
		});
	}

	/** Guards against a quarter of a pool's jobs in each burst that are late because machines move only when it has begun. */
	it('lets four pools in turn serve all but 2% of their jobs in time once it has learnt their period', () => {
		const pools = ['p1', 'p2', 'p3', 'p4'];
		const lulls = Object.fromEntries(pools.map(pool => [pool, 0.25]));
		const model = ModelPools.create({
			seed: 1, pools, machines: 90, present: 5,
		});
		const runCycles = (cycles: number) => {
			const before = model.sumResults();
			for (let cycle = 0; cycle < cycles; cycle++) {
				for (const pool of pools) {
					model.run({...lulls, [pool]: 25}, burstMs);
				}
			}

			const after = model.sumResults();
			const inTime = after.inTime - before.inTime;
			return inTime / (inTime + after.late + after.useless - before.late - before.useless);
		};

		runCycles(5);
		expect(runCycles(3)).toBeGreaterThanOrEqual(0.98);
	});
});
