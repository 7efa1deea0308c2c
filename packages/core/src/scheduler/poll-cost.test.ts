/** Which workers an event makes the leader look at to find due polls, and that none of them is missed. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createJob, createStep, noFaults, ModelFleet,
} from './testing/model-fleet.js';
import {HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {NarrowLeader} from './testing/narrow-leader.js';
import type {SchedulerState} from './state.js';

/** Counts how often the poll state of a worker is read. */
function countLooks({workers}: SchedulerState): {looks: number} {
	const count = {looks: 0};
	for (const worker of workers.values()) {
		let isPending = worker.isPollPending;
		Object.defineProperty(worker, 'isPollPending', {
			get() {
				count.looks++;
				return isPending;
			},
			set(value: boolean) {
				isPending = value;
			},
		});
	}

	return count;
}

/** How often workers are looked at for the answer to one start, and for one poll that was answered, in a fleet of `workers`. */
function countLooksOfAnswers(workers: number): number[] {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers(...Array.from({length: workers}, (_, index) => `w${index}`));
	const [start] = listStarts([...host.submit(createJob(1, [createStep({count: 1})])), ...host.tick(200)]);
	// The confirmation of an append is an event of its own.
	host.isConfirmingAppends = false;
	const count = countLooks(host.state);
	host.answerStart(start!);
	const ofStart = count.looks;
	host.answerPoll('w0');
	return [ofStart, count.looks - ofStart];
}

/** Runs bursts of jobs on 20 workers, two of which cannot be reached for a while; `isScanning`: all workers are looked at with each event. */
function runBursts(isScanning: boolean, callMs: number) {
	const leader = NarrowLeader.create({workers: 20, callMs, connectMs: 0});
	if (isScanning) {
		Object.defineProperty(leader.state.callWindow, 'hasWaitingPolls', {get: () => true, set() {}});
	}

	for (let job = 1; job <= 120; job++) {
		leader.submit(createJob(job, [createStep({count: 4, estimateMs: 100 + (job % 7 * 90)}), createStep({count: 2, estimateMs: 150, dependsOn: [0]})]));
		leader.run(job % 20 === 0 ? 900 : 25);
		if (job === 50) {
			leader.unreachableWorkers.add('w-3');
			leader.unreachableWorkers.add('w-4');
		}

		if (job === 80) {
			leader.unreachableWorkers.clear();
		}
	}

	leader.run(12_000);
	return {
		sent: leader.sent, timedOut: leader.timedOut, doneRuns: leader.doneRuns, records: leader.records.length, events: leader.events,
	};
}

describe('polls that are due', () => {
	/** Guards against a leader that looks at each worker of the fleet with each answer: some 70,000 answers in half a minute, 250 workers. */
	it('are looked for at one worker when one worker has answered', () => {
		expect(countLooksOfAnswers(200)).toEqual(countLooksOfAnswers(10));
	});

	/** Guards against workers that are polled later than when all are looked at with each event, or not at all. */
	for (const callMs of [0, 1]) {
		it(`are sent as when all workers are looked at with each event: calls of ${callMs} ms`, () => {
			const result = runBursts(false, callMs);
			expect(result).toEqual(runBursts(true, callMs));
			expect(result.doneRuns).toBeGreaterThanOrEqual(120 * 6);
		});
	}

	/** Guards against leases that lapse because a poll was missed: 20 workers, two hosts, no faults. */
	it('keep all leases', () => {
		const fleet = ModelFleet.create({
			seed: 4, hosts: 2, workers: 20, faults: noFaults,
		});
		fleet.run(3000);
		for (let job = 1; job <= 60; job++) {
			fleet.submit(createJob(job, [createStep({count: 3, estimateMs: 300 + (job * 40)})]));
			fleet.run(100);
		}

		fleet.run(8000);
		expect([fleet.violations, fleet.events.filter(event => event.includes('lease-lapsed'))]).toEqual([[], []]);
		expect(Array.from({length: 60}, (_, index) => fleet.getPhase(createJob(index + 1, []).jobId)).every(phase => phase === 'completed')).toEqual(true);
	});
});
