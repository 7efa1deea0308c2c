/** Leaders whose jobs have more overdue occurrences, or more waiting tasks, than a host has memory for. */
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {
	createProgress, createRow, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {
	createJob, createStep, ModelFleet, noFaults, type ModelFaults,
} from './testing/model-fleet.js';
import type {JobDefinition, StepDefinition} from './types.js';

const wallStart = 1_800_000_000_000;
const secondMs = 1000;
const weekOfSeconds = 7 * 86_400;
const sixDaysMs = 6 * 86_400 * secondMs;
/** Far more than any number of tasks that wait needs, and far less than the backlogs here hold. */
const maxBuilt = 50_000;

/** A schedule of one occurrence each second for a week, which began six days ago. */
function createOverdueSchedule(number: number, steps: readonly StepDefinition[] = [createStep({count: 1, estimateMs: 300})]): JobDefinition {
	return createJob(number, steps, {runCount: weekOfSeconds, firstRunAt: (wallStart - sixDaysMs) as Instant, intervalMs: secondMs});
}

/** All steps and tasks that a host has built. */
function countBuilt({state}: HandDrivenHost): number {
	let built = 0;
	for (const {live} of state.jobs.values()) {
		for (const {steps} of live?.occurrences.values() ?? []) {
			for (const {tasks} of steps) {
				built += 1 + tasks.length;
			}
		}
	}

	return built;
}

function countOpen(host: HandDrivenHost, number: number): number {
	return host.state.jobs.get(createJob(number, []).jobId)?.live?.occurrences.size ?? 0;
}

function createFleet(faults: ModelFaults = noFaults): ModelFleet {
	const fleet = ModelFleet.create({
		seed: 11, hosts: 3, workers: 4, faults,
	});
	fleet.run(2000);
	return fleet;
}

/** The occurrences of a job's first step that have started, in the order of their first starts. */
function listStartedOccurrences(fleet: ModelFleet, jobId: string): number[] {
	return [...fleet.starts.keys()].filter(task => task.startsWith(jobId)).map(task => Number(task.split('.')[1]));
}

describe('a schedule with half a million overdue occurrences', () => {
	/** Guards against a leader that builds all of them at once, exceeds its heap limit and ends, as does each one after it. */
	it('has few of them built when it is handed in, and with each clock event', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		const startedAt = performance.now();
		host.submit(createOverdueSchedule(1));
		host.tick(2000);
		expect(countBuilt(host) < maxBuilt).toEqual(true);
		expect(performance.now() - startedAt).toBeLessThan(2000);
	});

	it('has few of them built by a host that takes the lead, beside those that have begun', () => {
		const job = createOverdueSchedule(1);
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({occurrence: 3}), createRow({occurrence: 400})])]);
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([`${job.jobId}.3.0.0`, `${job.jobId}.400.0.0`]);
		host.tick(500);
		expect(countBuilt(host) < maxBuilt).toEqual(true);
	});

	it('does not keep other jobs from being done, and goes on itself', () => {
		const fleet = createFleet();
		const schedule = createOverdueSchedule(1);
		fleet.submit(schedule);
		fleet.run(1000);
		fleet.submit(createJob(2, [createStep({count: 2, estimateMs: 300})]));
		fleet.run(4000);
		expect([fleet.getPhase('0000000000000002'), listStartedOccurrences(fleet, schedule.jobId).length > 20, fleet.violations]).toEqual(['completed', true, []]);
	});

	it('begins them in their order, without a gap, also over changes of the leader', () => {
		const fleet = createFleet({lostPercent: 2, delayedPercent: 0, crashEveryMs: Number.POSITIVE_INFINITY});
		const schedule = createOverdueSchedule(1);
		fleet.submit(schedule);
		for (let round = 0; round < 3; round++) {
			fleet.run(2500);
			fleet.stopLeader(500);
		}

		fleet.run(6000);
		const started = [...new Set(listStartedOccurrences(fleet, schedule.jobId))].toSorted((a, b) => a - b);
		expect(started.length > 50).toEqual(true);
		expect(started).toEqual(started.map((_, index) => index));
		expect(fleet.violations).toEqual([]);
	});

	/** Guards against first steps that begin one after the other while the later steps of the same occurrences wait, without bound. */
	it('of two steps has few occurrences open, and ends those that have begun', () => {
		const fleet = createFleet();
		const schedule = createOverdueSchedule(1, [createStep({count: 1, estimateMs: 100}), createStep({count: 1, estimateMs: 300, dependsOn: [0]})]);
		fleet.submit(schedule);
		fleet.run(8000);
		const live = fleet.findLeader()!.jobs.get(schedule.jobId)!.live!;
		expect(live.finishedOccurrences.size > 40).toEqual(true);
		expect(live.occurrences.size < 200).toEqual(true);
		expect(fleet.violations).toEqual([]);
	});
});

describe('many schedules with overdue occurrences', () => {
	it('have few of them built together, and each at least one', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		const numbers = Array.from({length: 2000}, (_, index) => index + 1);
		for (const number of numbers) {
			host.submit(createOverdueSchedule(number));
		}

		host.tick(500);
		expect(countBuilt(host) < maxBuilt).toEqual(true);
		expect(numbers.every(number => countOpen(host, number) > 0)).toEqual(true);
	});
});

describe('many waiting jobs of ten thousand tasks each', () => {
	const largeCount = 10_000;
	const numbers = Array.from({length: 40}, (_, index) => index + 1);

	/** Guards against leaders that exceed their heap limit, one after the other, because of jobs that only wait. */
	it('have few tasks built when they are handed in, by a host that takes the lead, and while no worker has room', () => {
		const host = HandDrivenHost.create();
		for (const number of numbers) {
			host.submit(createJob(number, [createStep({count: largeCount}), createStep({count: largeCount, dependsOn: [0]})]));
		}

		host.takeLeadership();
		host.addWorkers('w1');
		host.tick(500);
		expect(listStarts(host.effects).length > 0).toEqual(true);
		expect(countBuilt(host) < maxBuilt).toEqual(true);
	});

	it('of gangs that no pool has room for have few members built', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.addWorkers('w1');
		for (const number of numbers) {
			host.submit(createJob(number, [createStep({count: largeCount, isGang: true, need: {cpu: 10, memoryMb: 1, gpu: 0}})]));
		}

		host.tick(200);
		expect(countBuilt(host) < maxBuilt).toEqual(true);
	});

	it('are done to the last task, each run once', () => {
		const fleet = createFleet();
		fleet.submit(createJob(1, [createStep({count: 450, need: {cpu: 100, memoryMb: 1, gpu: 0}, estimateMs: 100}), createStep({
			count: 120, need: {cpu: 100, memoryMb: 1, gpu: 0}, dependsOn: [0], estimateMs: 100,
		})]));
		fleet.run(12_000);
		expect([fleet.getPhase('0000000000000001'), fleet.starts.size, [...fleet.starts.values()].every(count => count === 1), fleet.violations]).toEqual(['completed', 570, true, []]);
	});

	it('count the tasks that are not built as unavailable and as waiting', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.submit(createJob(1, [createStep({count: largeCount, need: {cpu: 1000, memoryMb: 1, gpu: 0}})]));
		host.addWorkers('w1');
		host.tick(100);
		const [demand] = [...host.state.demand.values()];
		expect(demand!.waitingTasks).toEqual(largeCount - 64);
	});
});
