/** A lower bound of a wave's roll-out time: what budgets, drain times and failures allow at best. */
import {isWorkerDown, type FakeWorker} from './fake-platform.js';
import type {BenchBudget} from './shapes.js';

const stepMs = 1000;

/** How long each worker is out of service, in milliseconds. */
export type OutTimes = ReadonlyMap<FakeWorker, number>;

/** Milliseconds that no planner can beat with these times out: work divided by the hosts that may be out. */
export function computeLeastTime(outTimes: OutTimes, budget: BenchBudget, startAt: number): number {
	const workers = [...outTimes.keys()];
	const sumTimes = (among: readonly FakeWorker[]) => among.reduce((sum, worker) => sum + (outTimes.get(worker) ?? 0), 0);
	const zones = [...new Set(workers.map(worker => worker.availabilityZone))];
	const racks = [...new Set(workers.map(worker => worker.rack))];
	const zoneBounds = zones.map(zone => sumTimes(workers.filter(worker => worker.availabilityZone === zone)) / budget.maximumHostsOutPerZone);
	const rackBounds = racks.map(rack => sumTimes(workers.filter(worker => worker.rack === rack)) / budget.maximumHostsOutPerRack);
	const longest = Math.max(...outTimes.values());
	return Math.max(longest, computePoolBound({workers, workMs: sumTimes(workers), startAt}, budget, zones.length), ...zoneBounds, ...rackBounds);
}

type PoolWork = {readonly workers: readonly FakeWorker[]; readonly workMs: number; readonly startAt: number};

/** Counts down the work of all hosts at the width that health allows at each instant. */
function computePoolBound({workers, workMs, startAt}: PoolWork, budget: BenchBudget, zoneCount: number): number {
	const countUp = (now: number) => workers.filter(worker => !isWorkerDown(worker, startAt + now)).length;
	const widest = Math.min(budget.maximumHostsOut, budget.maximumHostsOutPerZone * zoneCount);
	let left = workMs;
	let now = 0;
	while (left > 0) {
		left -= stepMs * Math.max(0, Math.min(countUp(now) - budget.minimumHealthyHosts, widest));
		now += stepMs;
	}

	return now;
}
