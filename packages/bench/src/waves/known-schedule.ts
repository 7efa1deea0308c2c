/** The shortest schedule found with all drain times known in advance, as a baseline for the planner, which does not know them. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {FakeWorker} from './fake-platform.js';
import type {OutOfServiceTimes} from './least-time.js';
import type {BenchBudget} from './shapes.js';

const tries = 300;

type Running = {readonly worker: FakeWorker; readonly endsAt: number};

/** The length in milliseconds of the best of several hundred list schedules within the budget, without failures. */
export function computeKnownScheduleTime(outTimes: OutOfServiceTimes, budget: BenchBudget): number {
	const random = xoroshiro128plus(1);
	const longestFirst = [...outTimes.keys()].toSorted((one, other) => outTimes.get(other)! - outTimes.get(one)!);
	let best = measureSchedule(longestFirst, outTimes, budget);
	for (let count = 0; count < tries; count++) {
		const order = [...longestFirst];
		const one = unsafeUniformIntDistribution(0, order.length - 1, random);
		const other = unsafeUniformIntDistribution(0, order.length - 1, random);
		[order[one], order[other]] = [order[other]!, order[one]!];
		const time = measureSchedule(order, outTimes, budget);
		if (time <= best) {
			best = time;
			longestFirst.splice(0, longestFirst.length, ...order);
		}
	}

	return best;
}

/** Computes the length of a list schedule: starts the first worker of the order that fits the budget, whenever one fits. */
function measureSchedule(order: readonly FakeWorker[], outTimes: OutOfServiceTimes, budget: BenchBudget): number {
	const waiting = [...order];
	let running: Running[] = [];
	let now = 0;
	while (waiting.length > 0 || running.length > 0) {
		const index = findFitting(waiting, running, budget, order.length);
		if (index === -1) {
			now = findNextEnd(running);
			running = listRunningAfter(running, now);
			continue;
		}

		const [worker] = waiting.splice(index, 1);
		running.push({worker: worker!, endsAt: now + outTimes.get(worker!)!});
	}

	return now;
}

function findFitting(waiting: readonly FakeWorker[], running: readonly Running[], budget: BenchBudget, members: number): number {
	return waiting.findIndex(worker => isWithin(budget, running, worker, members));
}

function findNextEnd(running: readonly Running[]): number {
	return Math.min(...running.map(({endsAt}) => endsAt));
}

function listRunningAfter(running: readonly Running[], now: number): Running[] {
	return running.filter(({endsAt}) => endsAt > now);
}

function isWithin(budget: BenchBudget, running: readonly Running[], worker: FakeWorker, members: number): boolean {
	const inZone = running.filter(other => other.worker.availabilityZone === worker.availabilityZone);
	const inRack = inZone.filter(other => other.worker.rack === worker.rack);
	return running.length < Math.min(budget.maximumHostsOut, members - budget.minimumHealthyHosts)
		&& inZone.length < budget.maximumHostsOutPerZone
		&& inRack.length < budget.maximumHostsOutPerRack;
}
