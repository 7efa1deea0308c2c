/**
 * Demand by turns: each pool in its time is asked for several times its mean, for some seconds, and for little in between.
 *
 * The work that arrives is followed over a short time, so that machines are fetched when a pool's turn begins
 * rather than when its queue has grown; the highest need of the last seconds is kept, so that they are not sent
 * away in a short lull. Processor, memory and accelerators are followed apart: long-running tasks often fill the
 * memory of machines whose processors are half idle, and the pool is as large as the scarcest of them asks for.
 */
import {getPoolOfJob} from './queues.js';
import {
	addResources, computeShare, noResources, computeMultiple,
} from './resources.js';
import {getStepNeed} from './tasks.js';
import type {PoolName, Resources} from './types.js';
import type {
	Job, PoolDemand, SchedulerState, StepRun, Worker,
} from './state.js';

/** Weight of the latest look in the followed rate, and in one that follows slowly: their difference tells of a rise. */
const latestWeight = 0.35;
const slowWeight = 0.09;
/** A rise is taken to go on for about as long as a machine takes to come. */
const riseFactor = 0.8;
/** Room above the followed rate, for its random ups. */
const headroom = 1.15;
/** Share of a machine that tasks can really fill. */
const fillShare = 0.85;
/** Waiting work is to be gone within this time. */
const clearMs = 1500;
/** How long the highest need is kept. */
const keepMs = 3000;

/** The demand of a pool, kept between looks. */
export function getDemand(state: SchedulerState, pool: PoolName): PoolDemand {
	let demand = state.demand.get(pool);
	if (!demand) {
		demand = {
			waitingTasks: 0, waitingWork: noResources, waitingLasting: noResources, arrivedWork: noResources, rate: noResources, slowRate: noResources, lookedAt: state.now, machines: 0, missing: 0, keptMachines: 0, keptUntil: 0, replacementUntil: 0,
		};
		state.demand.set(pool, demand);
	}

	return demand;
}

/** Counts the work of a job that has come. */
export function addArrivedWork(state: SchedulerState, job: Job): void {
	const demand = getDemand(state, getPoolOfJob(state, job));
	const ratio = state.runRatios.get(job.definition.queue) ?? 1;
	for (const step of job.definition.steps) {
		if (!step.isLongRunning) {
			demand.arrivedWork = addResources(demand.arrivedWork, getStepNeed(step), step.count * step.estimateMs * ratio);
		}
	}
}

/** Forgets what waited at the last look. */
export function clearWaiting(demand: PoolDemand): void {
	demand.waitingTasks = 0;
	demand.waitingWork = noResources;
	demand.waitingLasting = noResources;
}

/** Counts tasks of a step that found no room. */
export function addWaitingWork(demand: PoolDemand, {definition}: StepRun, tasks: number): void {
	const need = getStepNeed(definition);
	demand.waitingTasks += tasks;
	if (definition.isLongRunning) {
		demand.waitingLasting = addResources(demand.waitingLasting, need, tasks);
	} else {
		demand.waitingWork = addResources(demand.waitingWork, need, tasks * definition.estimateMs);
	}
}

/** Follows the rate of arrivals, and works out how many machines of some size the pool needs. */
export function updateDemand(state: SchedulerState, pool: PoolName, machine: Resources): PoolDemand {
	const demand = getDemand(state, pool);
	const elapsedMs = state.now - demand.lookedAt;
	if (elapsedMs <= 0 || machine.cpu <= 0) {
		return demand;
	}

	const latestRate = computeMultiple(demand.arrivedWork, 1 / elapsedMs);
	demand.rate = addResources(computeMultiple(demand.rate, 1 - latestWeight), latestRate, latestWeight);
	demand.slowRate = addResources(computeMultiple(demand.slowRate, 1 - slowWeight), latestRate, slowWeight);
	demand.arrivedWork = noResources;
	demand.lookedAt = state.now;
	const needed = computeNeed(state, pool);
	const spread = demand.waitingTasks > 0 ? countSpread(state, pool) : 0;
	demand.machines = Math.max(spread, countMachines(addResources(needed, computeRise(demand)), machine));
	keepHighest(state, demand, Math.max(spread, countMachines(needed, machine)));
	return demand;
}

function keepHighest(state: SchedulerState, demand: PoolDemand, machines: number): void {
	if (machines >= demand.keptMachines || state.now >= demand.keptUntil) {
		demand.keptMachines = machines;
		demand.keptUntil = state.now + keepMs;
	}
}

function countMachines(needed: Resources, machine: Resources): number {
	return Math.ceil(computeShare(needed, machine) / fillShare);
}

function computeNeed(state: SchedulerState, pool: PoolName): Resources {
	const {rate, waitingWork, waitingLasting} = getDemand(state, pool);
	let needed = addResources(sumLasting(state, pool), waitingLasting);
	needed = addResources(needed, rate, headroom);
	return addResources(needed, waitingWork, 1 / clearMs);
}

/** By how much the rate is likely to have risen when machines that are fetched now are there. */
function computeRise({rate, slowRate}: PoolDemand): Resources {
	const rise = addResources(rate, slowRate, -1);
	return computeMultiple({cpu: Math.max(0, rise.cpu), memoryMb: Math.max(0, rise.memoryMb), gpu: Math.max(0, rise.gpu)}, riseFactor);
}

/** What long-running tasks of a pool hold. */
function sumLasting(state: SchedulerState, pool: PoolName): Resources {
	let sum = noResources;
	for (const worker of state.workers.values()) {
		if (worker.pool === pool && worker.lastingTasks > 0) {
			sum = addResources(sum, sumLastingOfWorker(worker));
		}
	}

	return sum;
}

function sumLastingOfWorker(worker: Worker): Resources {
	let sum = noResources;
	for (const {step} of worker.tasks.values()) {
		if (step.definition.isLongRunning) {
			sum = addResources(sum, getStepNeed(step.definition));
		}
	}

	return sum;
}

/** Workers that the steps which wait must be spread over. */
function countSpread(state: SchedulerState, pool: PoolName): number {
	let most = 0;
	for (const step of state.openSteps) {
		const {count, maxPerWorker} = step.definition;
		if (maxPerWorker > 0 && getPoolOfJob(state, step.occurrence.job) === pool) {
			most = Math.max(most, Math.ceil(count / maxPerWorker));
		}
	}

	return most;
}
