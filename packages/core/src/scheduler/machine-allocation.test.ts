/** Machines that are too few for all pools: who gets them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {allocateMachines, type MachineClaim} from './machine-allocation.js';
import {ModelPools} from './testing/model-pools.js';

const seed = 5;

function createClaim(pool: string, changes: Partial<MachineClaim> = {}): MachineClaim {
	return {
		pool, priority: 0, jobsPerMachine: 1.2, present: 3, needs: [20, 30, 40], ...changes,
	};
}

function allocate(available: number, ...claims: readonly MachineClaim[]): number[] {
	return [...allocateMachines(claims, available).values()];
}

describe('machines that are too few', () => {
	/** Guards against a pool that gets machines for its random peaks and late jobs while another has none for its arrivals. */
	it('are divided by what arriving work needs, before what waits', () => {
		expect(allocate(30, createClaim('a', {needs: [20, 30, 90]}), createClaim('b', {needs: [20, 21, 22]}))).toEqual([15, 15]);
	});

	/** Guards against machines that go to the pool with the largest need although each serves few callers there. */
	it('go to the pool of which each machine serves more jobs, and before that to the higher priority', () => {
		expect(allocate(20, createClaim('a', {jobsPerMachine: 1}), createClaim('b', {jobsPerMachine: 5}))).toEqual([3, 17]);
		expect(allocate(20, createClaim('a', {priority: 1, jobsPerMachine: 5}), createClaim('b'))).toEqual([3, 17]);
	});

	/** Guards against a pool whose jobs are not served at all. */
	it('go to each pool that has none first', () => {
		expect(allocate(10, createClaim('a', {priority: 1, present: 0}), createClaim('b'))).toEqual([2, 8]);
	});

	/** Guards against machines that are granted twice, beyond a pool's need, or not at all. */
	it('are granted as far as they go and no further', () => {
		const claim = fc.record({present: fc.nat(20), priority: fc.nat(2), jobsPerMachine: fc.integer({min: 0, max: 9}), extra: fc.tuple(fc.nat(20), fc.nat(20), fc.nat(20))});
		fc.assert(fc.property(fc.array(claim, {maxLength: 5}), fc.nat(60), (rows, available) => {
			const claims = rows.map(({extra: [load, objective, all], ...row}, index) => createClaim(`p${index}`, {...row, needs: [load, load + objective, load + objective + all]}));
			const granted = allocate(available, ...claims);
			const missing = claims.map(({present, needs}) => Math.max(0, needs[2] - present));
			expect(granted.every((count, index) => count <= missing[index]!)).toEqual(true);
			expect(granted.reduce((sum, count) => sum + count, 0)).toEqual(Math.min(available, missing.reduce((sum, count) => sum + count, 0)));
		}), {seed});
	});

	/** Guards against a burst of all pools in which the first to ask takes all machines: 40 machines, where 82 would be busy. */
	it('go to each of four pools that burst at once, at least half of an equal share', () => {
		const pools = ['p1', 'p2', 'p3', 'p4'];
		for (const loadSeed of [1, 2, 3, 4, 5]) {
			const model = ModelPools.create({
				seed: loadSeed, pools, machines: 40, present: 3,
			});
			model.run(Object.fromEntries(pools.map(pool => [pool, 0.25])), 5000);
			model.run(Object.fromEntries(pools.map(pool => [pool, 25])), 4000);
			expect(Math.min(...pools.map(pool => model.countMachines(pool)))).toBeGreaterThanOrEqual(5);
		}
	});
});
