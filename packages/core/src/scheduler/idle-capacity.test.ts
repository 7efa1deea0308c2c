/** Machines that a pool no longer needs: how long they stay after a burst, and how often they move. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ModelPools} from './testing/model-pools.js';

const pools = ['p1', 'p2', 'p3', 'p4'];
const burst = 25;
const lull = 0.25;
const turnMs = 5000;
/** One move to the spare pool and one back. */
const twoMovesMs = 3000;
/** What a pool keeps without work, and one that may be on its way. */
const keptMachines = 4;
const lulls = Object.fromEntries(pools.map(pool => [pool, lull]));

function createPools(seed: number): ModelPools {
	return ModelPools.create({
		seed, pools, machines: 90, present: 5,
	});
}

/** Machines that come back from the spare pool to the pool that they left, after so short a time that nothing was saved. */
function countNeedlessReturns({moves}: ModelPools): number {
	return moves.filter((move, index) => {
		const former = moves.slice(0, index).findLast(({machineId}) => machineId === move.machineId);
		return former?.to === move.from && move.from === 'spare' && move.to === former.from && move.at - former.at < twoMovesMs;
	}).length;
}

describe('machines of pools whose bursts take turns', () => {
	/** Guards against machines that are switched off at the end of a burst and needed again at once, and against ones that stay on for seconds without work. */
	for (const seed of [1, 2, 3]) {
		it(`without work leave within five seconds of the end of a burst, and do not come back before their move has paid (seed ${seed})`, () => {
			const model = createPools(seed);
			for (let cycle = 0; cycle < 2; cycle++) {
				for (const pool of pools) {
					model.run({...lulls, [pool]: burst}, turnMs);
					for (const other of pools.filter(name => name !== pool)) {
						expect(model.countIdleMachines(other)).toBeLessThanOrEqual(keptMachines);
					}
				}
			}

			expect(countNeedlessReturns(model)).toEqual(0);
		});
	}

	/** Guards against machines that stay in a pool for good because its demand ended while they moved there. */
	it('leave a pool whose demand ended while they were on their way, and all jobs are served', () => {
		for (const seed of [1, 2, 3]) {
			const model = createPools(seed);
			model.run(lulls, turnMs);
			model.run({...lulls, p1: 4 * burst}, 700);
			expect(model.moves.filter(({to}) => to === 'p1').length).toBeGreaterThan(0);
			model.run(lulls, 2 * turnMs);
			expect(model.countIdleMachines('p1')).toBeLessThanOrEqual(keptMachines);
			expect(model.sumResults('p1').useless).toEqual(0);
		}
	});
});
