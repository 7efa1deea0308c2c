/** TWICE: the successor of a leader reckons with what a worker's process did on calls that were meant for its former one. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LeadEnd} from './testing/host-pair.js';
import {LeadChange} from './testing/lead-change.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {WorkerCall} from './testing/worker-process.js';

/** Longer than all waits. */
const runMs = 120_000;
const endAt = 45_000;
const uptimeMs = 10_000;
const job = createJob(1, [createStep({count: 1, estimateMs: runMs})]);
const task = `${job.jobId}.0.0.0`;
/** What w1 runs before. */
const earlierJob = createJob(2, [createStep({count: 1, estimateMs: runMs})]);

/** Worker w1 alone, whose clock is far ahead of that of a new process. */
function createRig(): LeadChange {
	const rig = LeadChange.create();
	rig.addWorker('w1');
	rig.runUntil(uptimeMs);
	return rig;
}

function isPoll(call: WorkerCall): boolean {
	return call.type === 'worker/poll' && call.untilMs !== undefined;
}

function isStart({type}: WorkerCall): boolean {
	return type === 'worker/start';
}

function isAcknowledgement(call: WorkerCall): boolean {
	return call.type === 'worker/poll' && call.untilMs !== undefined && call.acknowledgedEnd > 0;
}

/** The process of w1 ends at 15 s; the next one first carries out the call that was kept back. The leader sees the restart, starts the task there, and goes. */
function restartAndStart(rig: LeadChange, how: LeadEnd): void {
	rig.runUntil(15_000);
	rig.crashWorker('w1');
	rig.runUntil(15_600);
	rig.restartWorker('w1');
	rig.runUntil(15_900);
	rig.reportWorker('w1');
	rig.runUntil(16_350);
	rig.submit(job, runMs);
	rig.runUntil(17_080);
	rig.endLead(how);
	rig.runUntil(17_600);
}

/** Cuts w1 off with the task, adds w2, and checks that the task runs there in the end, and nowhere twice. */
function checkRestart(rig: LeadChange): void {
	expect(rig.runs.findLast(run => run.task === task)?.workerId).toEqual('w1');
	rig.cutWorker('w1');
	rig.addWorker('w2');
	rig.runUntil(endAt);
	expect(rig.isHandedOver).toEqual(true);
	expect(rig.doubles).toEqual([]);
	expect(rig.runs.findLast(run => run.task === task)?.workerId).toEqual('w2');
}

for (const how of ['released', 'died'] as const satisfies LeadEnd[]) {
	describe(`a run on a worker that restarts beside a change of the lead (${how}) starts nowhere else while it may be at work`, () => {
		/** Guards against a successor that doesn't know what the former leader did: a poll for the former process gave the present one the longest lease that workers accept. */
		it('if a poll for the former process came before the first answer of the present one', () => {
			const rig = createRig();
			rig.submit(earlierJob, runMs);
			rig.runUntil(14_000);
			rig.keepNextBack(isPoll);
			restartAndStart(rig, how);
			checkRestart(rig);
		});

		/** Guards against the same after a start for the former process. */
		it('if a start for the former process came before the first answer of the present one', () => {
			const rig = createRig();
			rig.runUntil(14_900);
			rig.keepNextBack(isStart);
			rig.submit(earlierJob, runMs);
			restartAndStart(rig, how);
			checkRestart(rig);
		});

		/** Guards against a successor that counts an unanswered start of its predecessor as carried out by the process that it was meant for. */
		it('if its start was unanswered when the leader went, and the next process carried it out', () => {
			const rig = createRig();
			rig.runUntil(15_000);
			rig.keepNextBack(isStart);
			rig.submit(job, runMs);
			rig.runUntil(15_060);
			rig.crashWorker('w1');
			rig.endLead(how);
			rig.runUntil(15_600);
			rig.restartWorker('w1');
			checkRestart(rig);
		});

		/** Guards against a successor that takes the lease of a process for the one that it requested itself, though a poll of its predecessor had come first. */
		it('if a poll was on its way when the leader went, and the next process carried it out', () => {
			const rig = createRig();
			rig.submit(earlierJob, 4500);
			rig.keepNextBack(isAcknowledgement);
			rig.runUntil(14_600);
			rig.crashWorker('w1');
			rig.runUntil(14_650);
			rig.endLead(how);
			rig.runUntil(14_800);
			rig.restartWorker('w1');
			rig.reportWorker('w1');
			rig.runUntil(16_000);
			rig.submit(job, runMs);
			rig.runUntil(17_500);
			checkRestart(rig);
		});

		/** Guards against a successor that takes a restart for the end of a run whose start its predecessor had sent twice: the next process carries the other call out. */
		it('if its start was sent twice, and the next process carried out the first call', () => {
			const rig = createRig();
			rig.runUntil(15_000);
			rig.keepNextBack(isStart);
			rig.submit(job, runMs);
			rig.runUntil(15_600);
			rig.endLead(how);
			rig.addWorker('w2');
			rig.runUntil(17_500);
			expect(rig.runs.map(({workerId}) => workerId)).toEqual(['w1']);
			rig.crashWorker('w1');
			rig.runUntil(17_800);
			rig.restartWorker('w1');
			rig.reportWorker('w1');
			rig.runUntil(endAt);
			expect(rig.runs.length).toBeGreaterThan(1);
			expect(rig.doubles).toEqual([]);
		});
	});
}
