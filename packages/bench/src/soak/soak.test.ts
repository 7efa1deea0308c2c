/** A short seeded soak of the real programs, and seeds that once failed. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RunChecker} from './run-checker.js';
import {soakFaults} from './soak-faults.js';
import {runSoak} from './soak.js';

describe('the fault soak', () => {
	it('violates no guarantee in a short run', async () => {
		const {violations, accepted, starts} = await runSoak({
			seed: 1, faultMs: 8000, hosts: 3, workers: 4,
		});
		expect(violations).toEqual([]);
		expect(accepted > 0 && starts > 0).toEqual(true);
	});
});

/** Kinds of faults that were added after the seeds below had failed; without these kinds the seeds draw the same faults as then. */
const addedKinds = new Set(['store-reads-old', 'history-dropped']);
const originalKinds = Object.keys(soakFaults).filter(kind => !addedKinds.has(kind));

/** Seeds that once violated a guarantee, or a check that was stricter than the guarantee. */
const failedSeeds = [
	{seed: 100, cause: 'SIGHUP right after a process started ended it, as the handler was only installed once the modules were loaded'},
	{seed: 105, cause: 'a task started 3.4 s after its cancel, which was read late as the store was down for most of that time; this is allowed, but the check left no time for it'},
];

describe('soak seeds that failed once', () => {
	for (const {seed, cause} of failedSeeds) {
		it(`${seed}: ${cause}`, async () => {
			const {violations} = await runSoak({
				seed, faultMs: 20_000, hosts: 4, workers: 5, only: originalKinds,
			});
			expect(violations).toEqual([]);
		});
	}
});

describe('the run checker of the soak', () => {
	it('reports a start long after a cancel, unless hosts or store were under a fault meanwhile', () => {
		let disturbedUntil = 9000;
		const checker = RunChecker.create({
			findJob: () => ({rejectedAt: undefined, cancelledAt: 1000, firstStepTasks: 1}), readClock: () => 10_000, readDisturbedUntil: () => disturbedUntil,
		});
		checker.noteStart('w-0', 'a.0.0.0', 1);
		expect(checker.violations.length).toEqual(0);
		disturbedUntil = 2000;
		checker.noteStart('w-0', 'a.0.0.1', 1);
		expect(checker.violations.length).toEqual(1);
	});

	it('reports a task that runs twice at once, after its acknowledged completion, before the step it depends on, or for a refused or unknown job', () => {
		const facts = new Map([['a', {rejectedAt: undefined, cancelledAt: undefined, firstStepTasks: 1}], ['b', {rejectedAt: 1, cancelledAt: undefined, firstStepTasks: 1}]]);
		const checker = RunChecker.create({findJob: jobId => facts.get(jobId), readClock: () => 10, readDisturbedUntil: () => 0});
		checker.noteStart('w-0', 'a.0.0.0', 1);
		checker.noteStart('w-1', 'a.0.0.0', 2);
		checker.noteEnd('w-0', 'a.0.0.0', 1, false);
		checker.noteEnd('w-1', 'a.0.0.0', 2, false);
		checker.noteStart('w-0', 'a.0.1.0', 1);
		checker.noteEnd('w-0', 'a.0.1.0', 1, true);
		checker.noteAcknowledged('a.0.1.0');
		checker.noteStart('w-0', 'a.0.1.0', 2);
		checker.noteStart('w-0', 'b.0.0.0', 1);
		checker.noteStart('w-0', 'c.0.0.0', 1);
		expect(checker.violations.map(text => /while it runs|before the step|after a run|refused|nobody/.exec(text)?.[0])).toEqual(['while it runs', 'before the step', 'after a run', 'before the step', 'refused', 'nobody']);
	});
});
