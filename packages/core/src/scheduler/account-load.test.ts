/** Load: what a flood of one client account costs the others. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createAccountConfig} from './testing/hand-driven.js';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';

const accounts = 20;
const workers = 40;
/** Tasks that the workers run at once; a job has 1.6 steps of 8 tasks of 400 ms on average. */
const slots = workers * 4;
const jobsPerSecond = slots / (1.6 * 8 * 0.4);
/** The pool holds two and a half times its mean. */
const meanPerAccount = jobsPerSecond / 2.5 / accounts;

/** Sends two bursts of five times the mean for 4 s, a twentieth in between, the first account `factor` times that; returns the jobs of the others that were in time. */
function countInTime(weight: number, factor: number, seed: number): number {
	const fleet = ModelFleet.create({
		seed, hosts: 1, workers, faults: noFaults, config: createAccountConfig(Object.fromEntries(Array.from({length: accounts}, (_, index) => [`a${index}`, weight]))),
	});
	fleet.run(3000);
	const objectives = new Map<string, number>();
	let inTime = 0;
	let number = 0;
	const sent = Array.from({length: accounts}, () => 0);
	const due = Array.from({length: accounts}, () => fleet.draw(0, 100) / 100);
	for (let at = 0; at < 18_000; at += 25) {
		const rate = meanPerAccount * (at % 10_000 < 4000 ? 5 : 0.05);
		for (let account = 0; account < accounts; account++) {
			due[account]! += at < 14_000 ? rate * 0.025 * (account === 0 ? factor : 1) : 0;
			for (; due[account]! >= 1; due[account]!--) {
				const first = createStep({count: 8, estimateMs: 400});
				const steps = sent[account]!++ % 5 < 3 ? [first, {...first, dependsOn: [0]}] : [first];
				const job = createJob(++number, steps, {account: `a${account}`});
				fleet.submit(job);
				if (account > 0) {
					objectives.set(job.jobId, fleet.now + (2 * 400 * steps.length) + 600);
				}
			}
		}

		fleet.run(25);
		for (const [jobId, objective] of objectives) {
			if (fleet.now > objective) {
				objectives.delete(jobId);
			} else if (fleet.getPhase(jobId) === 'completed') {
				objectives.delete(jobId);
				inTime++;
			}
		}
	}

	return inTime;
}

describe('one account of twenty that sends eight times its usual load into a pool at five times its mean', () => {
	for (const [name, weight] of [['mean', meanPerAccount], ['burst', meanPerAccount * 5]] as const) {
		// Guards against: a flood of one account that takes the capacity from the others.
		for (const seed of [7, 8]) {
			it(`costs the others at most 5% of what they get in time beside its usual load, with the rate of their ${name} as weight: seed ${seed}`, () => {
				const usual = countInTime(weight, 1, seed);
				const flooded = countInTime(weight, 8, seed);
				expect(usual > 100).toEqual(true);
				expect(flooded / usual).toBeGreaterThanOrEqual(0.95);
			});
		}
	}
});
