/** LOST and TWICE: runs start elsewhere as soon after a change of the lead as their leases allow, and no sooner. lease-handover.known-red.test.ts has the cases that fail. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LeadEnd} from './testing/host-pair.js';
import {LeadChange, type SeenRun} from './testing/lead-change.js';
import {createJob, createStep} from './testing/model-jobs.js';
import {
	leaseHorizonMs, leaseSlackMs, longestGrantMs, suspicionMs,
} from './timing.js';

const runMs = 120_000;
const goneAt = 15_000;
const endAt = 40_000;
/** For a heartbeat, the reading of records, and the clock events. */
const stepsMs = 150;
/** A long-running task must run again within this time of the end of its run. */
const restartLimitMs = 9000;
const waits: Readonly<Record<LeadEnd, number>> = {
	released: longestGrantMs + suspicionMs + leaseSlackMs + stepsMs,
	died: leaseHorizonMs + suspicionMs + leaseSlackMs + stepsMs,
};

/** A task runs on w1 for 5 s; then the lead ends, and w1 is gone or cut off while w2 is there. Returns both runs. */
function runHandover(how: LeadEnd, isLongRunning: boolean, leave: (rig: LeadChange) => void): [SeenRun, SeenRun] {
	const rig = LeadChange.create();
	rig.addWorker('w1');
	rig.runUntil(goneAt - 5000);
	rig.submit(createJob(1, [createStep({count: 1, estimateMs: runMs, isLongRunning})]), runMs);
	rig.runUntil(goneAt);
	rig.addWorker('w2');
	rig.endLead(how);
	leave(rig);
	rig.runUntil(endAt);
	expect(rig.doubles).toEqual([]);
	expect(rig.runs.map(({workerId, run}) => `${workerId}#${run}`)).toEqual(['w1#1', 'w2#2']);
	return [rig.runs[0]!, rig.runs[1]!];
}

function cutWorker(rig: LeadChange): void {
	rig.cutWorker('w1');
}

function crashWorker(rig: LeadChange): void {
	rig.crashWorker('w1');
}

for (const how of ['released', 'died'] as const satisfies LeadEnd[]) {
	describe(`a run on a worker that did not restart, after its leader has ${how === 'died' ? 'died' : 'released the lead'}`, () => {
		for (const isLongRunning of [false, true]) {
			const kind = isLongRunning ? 'a long-running task' : 'a task that ends';

			/** Guards against a wait for the longest lease that workers accept, for each worker that is silent after a change of the lead. */
			it(`starts elsewhere with the end of the leases that were requested: ${kind}`, () => {
				const [, second] = runHandover(how, isLongRunning, cutWorker);
				expect(second.beganAt - goneAt).toBeLessThanOrEqual(waits[how]);
			});

			/** Guards against the same wait for a worker that crashed and stays away. */
			it(`starts elsewhere as early if its worker has crashed: ${kind}`, () => {
				const [first, second] = runHandover(how, isLongRunning, crashWorker);
				expect(second.beganAt - goneAt).toBeLessThanOrEqual(waits[how]);
				expect(second.beganAt - first.endedAt!).toBeLessThanOrEqual(restartLimitMs);
			});
		}
	});
}

for (const how of ['released', 'died'] as const satisfies LeadEnd[]) {
	describe(`a run whose worker restarts while its leader ${how === 'died' ? 'dies' : 'releases the lead'}`, () => {
		/** Guards against a task that a new leader starts again on its restarted worker, and elsewhere when that is cut off: a poll of the former leader gave the present process the longest lease. */
		it('starts nowhere else while its next run on that worker may be at work', () => {
			const rig = LeadChange.create();
			rig.addWorker('w1');
			rig.runUntil(goneAt - 5000);
			rig.submit(createJob(1, [createStep({count: 1, estimateMs: runMs})]), runMs);
			rig.runUntil(goneAt - 1000);
			rig.keepNextBack(call => call.type === 'worker/poll' && call.untilMs !== undefined);
			rig.runUntil(goneAt - 50);
			rig.crashWorker('w1');
			rig.runUntil(goneAt);
			rig.endLead(how);
			rig.runUntil(goneAt + 200);
			rig.restartWorker('w1');
			rig.runUntil(goneAt + 400);
			rig.reportWorker('w1');
			rig.runUntil(goneAt + 3000);
			rig.cutWorker('w1');
			rig.addWorker('w2');
			rig.runUntil(endAt);
			expect(rig.runs.slice(0, 2).map(({workerId, run}) => `${workerId}#${run}`)).toEqual(['w1#1', 'w1#2']);
			expect(rig.doubles).toEqual([]);
		});
	});
}

for (const how of ['released', 'died'] as const satisfies LeadEnd[]) {
	describe(`a long-running task that starts while a restarted worker holds the longest lease, and whose leader has ${how === 'died' ? 'died' : 'released the lead'}`, () => {
		/** Guards against long-running tasks on workers whose leases outlast the time that they may be without a run, while others have room. */
		it('runs again in time after its worker has crashed', () => {
			const rig = LeadChange.create();
			rig.addWorker('w1');
			rig.runUntil(goneAt - 5000);
			rig.submit(createJob(2, [createStep({count: 1, estimateMs: runMs})]), runMs);
			rig.runUntil(goneAt - 1000);
			rig.keepNextBack(call => call.type === 'worker/poll' && call.untilMs !== undefined);
			rig.addWorker('w2');
			rig.runUntil(goneAt);
			rig.crashWorker('w1');
			rig.runUntil(goneAt + 600);
			rig.restartWorker('w1');
			rig.reportWorker('w1');
			rig.runUntil(goneAt + 800);
			const job = createJob(1, [createStep({count: 1, estimateMs: runMs, isLongRunning: true})]);
			rig.submit(job, runMs);
			rig.runUntil(goneAt + 1300);
			const listRuns = () => rig.runs.filter(({task}) => task.startsWith(job.jobId));
			const [first] = listRuns();
			rig.endLead(how);
			rig.crashWorker(first!.workerId);
			rig.runUntil(endAt);
			expect(listRuns().length).toEqual(2);
			expect(listRuns()[1]!.beganAt - first!.endedAt!).toBeLessThanOrEqual(restartLimitMs);
			expect(rig.doubles).toEqual([]);
		});
	});
}
