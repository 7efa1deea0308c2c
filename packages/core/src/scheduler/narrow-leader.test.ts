/** A leader whose link or processor is too narrow for all the calls that it would make. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createJob, createStep} from './testing/model-fleet.js';
import {NarrowLeader} from './testing/narrow-leader.js';

const lastingMs = 1_000_000_000;
const jobs = 200;
const tasksPerJob = 8;

const taskNeed = {cpu: 1000, memoryMb: 100, gpu: 0};

describe('a leader that gets more work than it can send', () => {
	/**
	 * Guards against calls that time out behind starts: their stops and repeats keep the host busy, polls go unanswered, and
	 * the leases of sound workers lapse.
	 */
	it('keeps the leases of all workers, and carries out all work', () => {
		const leader = NarrowLeader.create({workers: 40, callMs: 6, connectMs: 6});
		leader.run(300);
		leader.submit(createJob(1, [createStep({
			count: 20, isLongRunning: true, estimateMs: lastingMs, need: taskNeed,
		})]));
		leader.run(2000);
		for (let number = 2; number < 2 + jobs; number++) {
			leader.submit(createJob(number, [createStep({count: tasksPerJob, estimateMs: 800, need: taskNeed})]));
			leader.run(50);
		}

		leader.run(60_000);
		const lasting = [...leader.workers.values()].flatMap(({runs}) => [...runs.values()]).filter(({startedAt, endsAt}) => endsAt - startedAt === lastingMs);
		expect({
			lapsedLeases: leader.countEvents('lease-lapsed'), lastingRuns: lasting.map(({run}) => run), doneRuns: leader.doneRuns,
		}).toEqual({lapsedLeases: 0, lastingRuns: Array.from({length: 20}, () => 1), doneRuns: jobs * tasksPerJob});
	});

	/** Guards against polls, of which each answer is followed by the next one at once, of workers whose starts have yet to be sent. */
	it('does not poll workers for starts that wait', () => {
		const leader = NarrowLeader.create({workers: 60, callMs: 8, connectMs: 8});
		leader.run(2000);
		const polls = leader.sent['worker/poll'];
		for (let number = 1; number <= jobs; number++) {
			leader.submit(createJob(number, [createStep({count: tasksPerJob, estimateMs: 800, need: taskNeed})]));
			leader.run(50);
		}

		expect(leader.countEvents('lease-lapsed')).toEqual(0);
		expect(leader.sent['worker/poll'] - polls).toBeLessThan(leader.sent['worker/start']);
	});
});

describe('a leader that takes over more workers than it can poll at once', () => {
	/** Guards against first polls that all time out, again and again: such workers are never used, and their leases lapse. */
	it('polls each of them', () => {
		for (const callMs of [3, 6]) {
			const workers = 350;
			const leader = NarrowLeader.create({workers, callMs, connectMs: callMs});
			leader.run((workers * callMs) + 1000);
			expect([...leader.state.workers.values()].filter(({isPolledByLeader}) => isPolledByLeader).length).toEqual(workers);
			expect(leader.timedOut['worker/poll']).toEqual(0);
		}
	});

	/** Guards against a bound that shrinks with each worker that is out of reach, so that the leases of sound ones lapse before they are polled. */
	it('polls those in reach well before their leases expire though the first third is out of reach', () => {
		const workers = 351;
		const leader = NarrowLeader.create({workers, callMs: 0.5, connectMs: 0.5});
		for (let index = 0; index < workers / 3; index++) {
			leader.unreachableWorkers.add(`w-${index}`);
		}

		leader.run(2000);
		const silent = [...leader.state.workers.values()].filter(({isPolledByLeader}) => !isPolledByLeader);
		expect(silent.filter(({id}) => !leader.unreachableWorkers.has(id))).toEqual([]);
	});

	/** Guards against workers that are out of reach keeping the polls of others back until their leases lapse. */
	it('polls those in reach soon though a third is out of reach', () => {
		const workers = 351;
		const leader = NarrowLeader.create({workers, callMs: 0.5, connectMs: 0.5});
		for (let index = 0; index < workers; index += 3) {
			leader.unreachableWorkers.add(`w-${index}`);
		}

		leader.run(1000);
		const silent = [...leader.state.workers.values()].filter(({isPolledByLeader}) => !isPolledByLeader);
		expect(silent.filter(({id}) => !leader.unreachableWorkers.has(id))).toEqual([]);
	});
});
