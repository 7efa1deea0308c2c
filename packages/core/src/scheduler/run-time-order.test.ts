/** The order of steps by learned run times, in bursts of more work than capacity whose declared estimates mislead. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {measureServedJobs, runTimeLoads, type ServeOptions} from './testing/run-time-loads.js';

const seeds = [1, 2, 3];
const periods = 4;

function countInTime(options: Omit<ServeOptions, 'seed' | 'periods'>): number {
	return seeds.reduce((sum, seed) => sum + measureServedJobs({...options, seed, periods}).inTime, 0);
}

describe('the order by learned run times', () => {
	for (const [name, load] of Object.entries(runTimeLoads)) {
		for (const intervalMs of [60, 100]) {
			/** Guards against learned times that mislead the order. Load: in 4 s of every 20 s a job of four tasks each 60 or 100 ms, for 24 cores. */
			it(`serves in time at least what arrival order serves: ${name}, a job each ${intervalMs} ms`, () => {
				const learned = countInTime({load, intervalMs});
				const byArrival = countInTime({load, intervalMs, isArrivalOrder: true});
				expect(learned).toBeGreaterThanOrEqual(byArrival);
			});
		}
	}
});
