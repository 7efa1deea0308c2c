/** The scheduler against a model of the platform: no task runs twice at once and no task is lost, whatever messages are lost or delayed and whatever crashes. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';

const settleMs = 40_000;

function submitSome(fleet: ModelFleet, count: number): void {
	for (let number = 1; number <= count; number++) {
		fleet.submit(createJob(number, [createStep({count: fleet.draw(1, 5)}), createStep({dependsOn: [0], count: fleet.draw(1, 3), estimateMs: fleet.draw(100, 1500)})]));
		fleet.run(fleet.draw(5, 400));
	}
}

function expectAllCompleted(fleet: ModelFleet, count: number): void {
	for (const host of fleet.hosts.keys()) {
		for (let number = 1; number <= count; number++) {
			const phase = fleet.getPhase(number.toString(16).padStart(16, '0'), host);
			expect({number, host, phase}).toEqual({number, host, phase: 'completed'});
		}
	}
}

describe('the scheduler', () => {
	it('runs jobs through all their steps when there are no faults', () => {
		const fleet = ModelFleet.create({
			seed: 1, hosts: 3, workers: 4, faults: noFaults,
		});
		fleet.run(3000);
		submitSome(fleet, 20);
		fleet.run(20_000);
		expect(fleet.violations).toEqual([]);
		expectAllCompleted(fleet, 20);
	});

	it('has one leader at a time, and elects another one when it crashes', () => {
		const fleet = ModelFleet.create({
			seed: 2, hosts: 5, workers: 2, faults: noFaults,
		});
		fleet.run(3000);
		const first = fleet.findLeader()!.leadership.token;
		expect(fleet.hosts.filter(host => host.state.leadership.role === 'leader').length).toEqual(1);
		const leader = fleet.hosts.findIndex(host => host.state.leadership.role === 'leader');
		fleet.killHost(leader, 500);
		fleet.run(3000);
		expect(fleet.findLeader()!.leadership.token > first).toEqual(true);
	});

	it('stops the runs of a cancelled job and starts no more of them', () => {
		const fleet = ModelFleet.create({
			seed: 3, hosts: 3, workers: 2, faults: noFaults,
		});
		const job = createJob(1, [createStep({estimateMs: 20_000})]);
		fleet.run(3000);
		fleet.submit(job);
		fleet.run(2000);
		expect(fleet.countRuns(`${job.jobId}.0.0.0`)).toEqual(1);
		fleet.cancel(job.jobId);
		fleet.run(2000);
		expect(fleet.countRuns(`${job.jobId}.0.0.0`)).toEqual(0);
		fleet.run(5000);
		expect(fleet.countRuns(`${job.jobId}.0.0.0`)).toEqual(0);
	});

	it('restarts a long-running task elsewhere once the lease of its unreachable worker has expired', () => {
		const fleet = ModelFleet.create({
			seed: 4, hosts: 2, workers: 3, faults: noFaults,
		});
		const job = createJob(1, [createStep({count: 1, isLongRunning: true, estimateMs: 900_000})]);
		fleet.run(3000);
		fleet.submit(job);
		fleet.run(1000);
		const task = `${job.jobId}.0.0.0`;
		fleet.killWorker(fleet.workers.findIndex(worker => worker.runs.has(task)), 600_000);
		fleet.run(6000);
		expect(fleet.countRuns(task)).toEqual(1);
	});

	it('keeps its invariants when answers are lost, orders are delayed, and hosts and workers crash', () => {
		for (let seed = 100; seed < 112; seed++) {
			const fleet = ModelFleet.create({
				seed, hosts: 4, workers: 5, faults: {lostPercent: 4, delayedPercent: 3, crashEveryMs: 2500},
			});
			fleet.run(3000);
			submitSome(fleet, 40);
			fleet.run(5000);
			fleet.faults = noFaults;
			fleet.run(settleMs);
			expect({seed, violations: fleet.violations}).toEqual({seed, violations: []});
			expectAllCompleted(fleet, 40);
		}
	});
});
