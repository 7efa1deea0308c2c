/**
 * Demand of each pool for machines. Load comes in bursts that alternate between pools: for some seconds a pool receives
 * several times its mean load, and little in between.
 *
 * A moving average over a short time tracks the rate of arriving work, so that machines are requested when a burst begins
 * rather than when its queue has grown. The peak of the last seconds is kept, so that machines are not given away during a
 * short lull. Processor, memory and accelerators are tracked separately: long-running tasks often fill the memory of
 * machines whose processors are half idle, and the size of the pool follows the scarcest resource.
 */
import {getPoolOfJob} from './queues.js';
import {
	addResources, computeDominantShare, noResources, computeMultiple,
} from './resources.js';
import {getStepNeed} from './tasks.js';
import {countTrialMachines} from './trials.js';
import type {PoolName, Resources} from './types.js';
import type {
	Job, PoolDemand, SchedulerState, StepRun, Worker,
} from './state.js';

/** Weights, per update, of the latest sample in the fast and in the slow moving average of the rate; their difference shows a rise. */
const fastWeight = 0.35;
const slowWeight = 0.09;
/** Share of this difference added to the demand, as a rise is assumed to continue for about as long as a machine takes to join. */
const trendFactor = 0.8;
/** Factor on the averaged rate that leaves capacity for random peaks. */
const headroom = 1.15;
/** Share of a machine that tasks fill in practice. */
const usableShare = 0.85;
/** The backlog is to be worked off within this time. */
const backlogClearMs = 1500;
/** How long a peak of the demand is kept. */
const peakKeptMs = 3000;

/** The demand of a pool, which is kept between updates. */
export function getDemand(state: SchedulerState, pool: PoolName): PoolDemand {
	let demand = state.demand.get(pool);
	if (!demand) {
		demand = {
			waitingTasks: 0, waitingWork: noResources, waitingLongRunning: noResources, arrivedWork: noResources, rate: noResources, slowRate: noResources, updatedAt: state.now, machines: 0, missing: 0, peakMachines: 0, peakUntil: 0, replacementUntil: 0,
		};
		state.demand.set(pool, demand);
	}

	return demand;
}

/** Adds the work of an accepted job to the arrivals of its pool. */
export function addArrivedWork(state: SchedulerState, job: Job): void {
	const demand = getDemand(state, getPoolOfJob(state, job));
	const ratio = state.runRatios.get(job.definition.queue) ?? 1;
	for (const step of job.definition.steps) {
		if (!step.isLongRunning) {
			demand.arrivedWork = addResources(demand.arrivedWork, getStepNeed(step), step.count * step.estimateMs * ratio);
		}
	}
}

/** Resets the waiting work before it is counted again. */
export function clearWaiting(demand: PoolDemand): void {
	demand.waitingTasks = 0;
	demand.waitingWork = noResources;
	demand.waitingLongRunning = noResources;
}

/** Adds tasks of a step for which no worker has free capacity. */
export function addWaitingWork(demand: PoolDemand, {definition}: StepRun, tasks: number): void {
	const need = getStepNeed(definition);
	demand.waitingTasks += tasks;
	if (definition.isLongRunning) {
		demand.waitingLongRunning = addResources(demand.waitingLongRunning, need, tasks);
	} else {
		demand.waitingWork = addResources(demand.waitingWork, need, tasks * definition.estimateMs);
	}
}

/** Updates the average rate of arrivals and computes how many machines of the given size the pool needs. */
export function updateDemand(state: SchedulerState, pool: PoolName, machine: Resources): PoolDemand {
	const demand = getDemand(state, pool);
	const elapsedMs = state.now - demand.updatedAt;
	if (elapsedMs <= 0 || machine.cpu <= 0) {
		return demand;
	}

	const latestRate = computeMultiple(demand.arrivedWork, 1 / elapsedMs);
	demand.rate = addResources(computeMultiple(demand.rate, 1 - fastWeight), latestRate, fastWeight);
	demand.slowRate = addResources(computeMultiple(demand.slowRate, 1 - slowWeight), latestRate, slowWeight);
	demand.arrivedWork = noResources;
	demand.updatedAt = state.now;
	const needed = computeNeed(state, pool);
	const workersForSpread = demand.waitingTasks > 0 ? countWorkersForSpread(state, pool) : 0;
	const trialMachines = countTrialMachines(state, pool);
	demand.machines = Math.max(workersForSpread, countMachines(addResources(needed, computeExpectedRise(demand)), machine)) + trialMachines;
	updatePeak(state, demand, Math.max(workersForSpread, countMachines(needed, machine)) + trialMachines);
	return demand;
}

function updatePeak(state: SchedulerState, demand: PoolDemand, machines: number): void {
	if (machines >= demand.peakMachines || state.now >= demand.peakUntil) {
		demand.peakMachines = machines;
		demand.peakUntil = state.now + peakKeptMs;
	}
}

function countMachines(needed: Resources, machine: Resources): number {
	return Math.ceil(computeDominantShare(needed, machine) / usableShare);
}

function computeNeed(state: SchedulerState, pool: PoolName): Resources {
	const {rate, waitingWork, waitingLongRunning} = getDemand(state, pool);
	let needed = addResources(sumLongRunning(state, pool), waitingLongRunning);
	needed = addResources(needed, rate, headroom);
	return addResources(needed, waitingWork, 1 / backlogClearMs);
}

/** The expected rise of the rate until machines that are requested now have joined. */
function computeExpectedRise({rate, slowRate}: PoolDemand): Resources {
	const rise = addResources(rate, slowRate, -1);
	return computeMultiple({cpu: Math.max(0, rise.cpu), memoryMb: Math.max(0, rise.memoryMb), gpu: Math.max(0, rise.gpu)}, trendFactor);
}

/** Resources in use by the long-running tasks of a pool. */
function sumLongRunning(state: SchedulerState, pool: PoolName): Resources {
	let sum = noResources;
	for (const worker of state.workers.values()) {
		if (worker.pool === pool && worker.longRunningTasks > 0) {
			sum = addResources(sum, sumLongRunningOfWorker(worker));
		}
	}

	return sum;
}

function sumLongRunningOfWorker(worker: Worker): Resources {
	let sum = noResources;
	for (const {step} of worker.tasks.values()) {
		if (step.definition.isLongRunning) {
			sum = addResources(sum, getStepNeed(step.definition));
		}
	}

	return sum;
}

/** Fewest workers that the open steps need because of their limit of tasks per worker. */
function countWorkersForSpread(state: SchedulerState, pool: PoolName): number {
	let fewest = 0;
	for (const step of state.openSteps) {
		const {count, maxPerWorker} = step.definition;
		if (maxPerWorker > 0 && getPoolOfJob(state, step.occurrence.job) === pool) {
			fewest = Math.max(fewest, Math.ceil(count / maxPerWorker));
		}
	}

	return fewest;
}
