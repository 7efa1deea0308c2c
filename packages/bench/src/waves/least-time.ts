/** A lower bound of a wave's roll-out time: what budgets, drain times and failures allow at best. */
import {isWorkerDown, type FakeWorker} from './fake-platform.js';
import type {BenchBudget} from './shapes.js';

const stepMs = 1000;

/** Milliseconds that no planner can beat, even one that knows all drain times: work divided by the hosts that may be out. */
export function computeLeastTime(workers: readonly FakeWorker[], budget: BenchBudget): number {
	const zones = [...new Set(workers.map(worker => worker.availabilityZone))];
	const racks = [...new Set(workers.map(worker => worker.rack))];
	const zoneBounds = zones.map(zone => sumTimes(workers.filter(worker => worker.availabilityZone === zone)) / budget.maximumHostsOutPerZone);
	const rackBounds = racks.map(rack => sumTimes(workers.filter(worker => worker.rack === rack)) / budget.maximumHostsOutPerRack);
	const longest = Math.max(...workers.map(worker => getOutTime(worker)));
	return Math.max(longest, computePoolBound(workers, budget, zones.length), ...zoneBounds, ...rackBounds);
}

/** Counts down the work of all hosts at the width that health allows at each instant. */
function computePoolBound(workers: readonly FakeWorker[], budget: BenchBudget, zoneCount: number): number {
	const countUp = (now: number) => workers.filter(worker => !isWorkerDown(worker, now)).length;
	const widest = Math.min(budget.maximumHostsOut, budget.maximumHostsOutPerZone * zoneCount);
	let left = sumTimes(workers);
	let now = 0;
	while (left > 0) {
		left -= stepMs * Math.max(0, Math.min(countUp(now) - budget.minimumHealthyHosts, widest));
		now += stepMs;
	}

	return now;
}

function sumTimes(workers: readonly FakeWorker[]): number {
	return workers.reduce((sum, worker) => sum + getOutTime(worker), 0);
}

/** Milliseconds that a worker is out of service at least. */
export function getOutTime({times}: FakeWorker): number {
	return Math.max(...times.taskMs) + times.rebootMs;
}
