/** A lower bound of a wave's roll-out time, given the budget, drain times and failures. */
import {isWorkerDown, type FakeWorker} from './fake-platform.js';
import type {BenchBudget} from './shapes.js';

const stepMs = 1000;

/** How long each worker is out of service, in milliseconds. */
export type OutOfServiceTimes = ReadonlyMap<FakeWorker, number>;

/** The lower bound in milliseconds for these out-of-service times: their sum divided by the number of hosts that may be out. */
export function computeMinimumTime(outTimes: OutOfServiceTimes, budget: BenchBudget, startAt: number): number {
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

/** Computes how long the work takes if at each instant as many hosts are out as the budget and the healthy hosts allow. */
function computePoolBound({workers, workMs, startAt}: PoolWork, budget: BenchBudget, zoneCount: number): number {
	const countUp = (elapsedMs: number) => workers.filter(worker => !isWorkerDown(worker, startAt + elapsedMs)).length;
	const widest = Math.min(budget.maximumHostsOut, budget.maximumHostsOutPerZone * zoneCount);
	let remainingMs = workMs;
	let elapsedMs = 0;
	while (remainingMs > 0) {
		remainingMs -= stepMs * Math.max(0, Math.min(countUp(elapsedMs) - budget.minimumHealthyHosts, widest));
		elapsedMs += stepMs;
	}

	return elapsedMs;
}
