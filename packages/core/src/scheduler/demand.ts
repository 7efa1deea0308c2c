/**
 * Demand of each pool for machines. Load comes in bursts that alternate between pools: for some seconds a pool receives
 * several times its mean load, and little in between.
 *
 * The rate of arriving work is tracked, so that machines are requested when a burst begins rather than when its queue has
 * grown. The peak of the last seconds is kept, so that machines are not given away during a
 * short lull. Processor, memory and accelerators are tracked separately: long-running tasks often fill the memory of
 * machines whose processors are half idle, and the size of the pool follows the scarcest resource.
 */
import {
	addArrivals, computeRateWithPeaks, createArrivalRate, createSample, createSampleOfJob, sumSamples,
} from './arrival-rate.js';
import {computeOfferedShare} from './machine-workers.js';
import {getPoolOfJob} from './queues.js';
import {countAdmitted} from './quotas.js';
import {
	addResources, computeDominantShare, computeMultiple, noResources,
} from './resources.js';
import {estimateMeanMs} from './run-times.js';
import {getStepNeed} from './tasks.js';
import {countTrialMachines} from './trials.js';
import type {PoolName, Resources, StepDefinition} from './types.js';
import type {
	Job, PlacementLimit, PoolDemand, RefusedWorkers, SchedulerState, StepRun, Worker,
} from './state.js';

/** Share of a machine that tasks fill in practice. */
const usableShare = 0.85;
/** Waiting work of jobs that can still meet their objective is to be worked off within this time. */
const backlogClearMs = 1500;
/** The same for jobs that cannot. They are of some use up to three times their objective, and machines requested for them come too late for it anyway. */
const lateClearMs = 4000;
/** How long a peak of the demand is kept. */
const peakKeptMs = 2500;

/** The demand of a pool, which is kept between updates. */
export function getDemand(state: SchedulerState, pool: PoolName): PoolDemand {
	let demand = state.demand.get(pool);
	if (!demand) {
		demand = {
			waitingTasks: 0, waitingWork: noResources, lateWork: noResources, waitingLongRunning: noResources, refused: {}, unplaceable: noResources, unplaceableSpread: 0, usableMachines: 0, hasIdleWorker: false, arrived: createSample(), rate: createArrivalRate(), updatedAt: state.now, machines: 0, missing: 0, loadMachines: 0, objectiveMachines: 0, peakMachines: 0, peakUntil: 0, replacementUntil: 0,
		};
		state.demand.set(pool, demand);
	}

	return demand;
}

/** Adds the work of an accepted job to the arrivals of its pool. */
export function addArrivedWork(state: SchedulerState, job: Job): void {
	let work = noResources;
	for (const [number, step] of job.definition.steps.entries()) {
		work = addResources(work, computeStepWork(state, job, number, step.count));
	}

	addSample(state, job, work);
}

/** Adds the work of some tasks of a job's step, given by its position, to the arrivals of its pool. */
export function addStepWork(state: SchedulerState, job: Job, number: number, tasks: number): void {
	addSample(state, job, computeStepWork(state, job, number, tasks));
}

function computeStepWork(state: SchedulerState, job: Job, number: number, tasks: number): Resources {
	const step = job.definition.steps[number];
	return !step || step.isLongRunning ? noResources : computeMultiple(getStepNeed(step), tasks * estimateMeanMs(state, job, number));
}

function addSample(state: SchedulerState, job: Job, work: Resources): void {
	const demand = getDemand(state, getPoolOfJob(state, job));
	demand.arrived = sumSamples([demand.arrived, createSampleOfJob(work)]);
}

/** Resets the waiting work before it is counted again. */
export function clearWaiting(demand: PoolDemand): void {
	demand.waitingTasks = 0;
	demand.waitingWork = noResources;
	demand.lateWork = noResources;
	demand.waitingLongRunning = noResources;
	demand.refused = {};
	demand.unplaceable = noResources;
	demand.unplaceableSpread = 0;
	demand.usableMachines = 0;
	demand.hasIdleWorker = false;
}

/** Tasks of a step that were not placed, the number of usable workers with the step's label, and what kept those with room from taking the next task. */
export type UnplacedTasks = {
	readonly tasks: number; readonly workers: number; readonly refused: RefusedWorkers;
	/** Their job can no longer meet its objective. */
	readonly isLate: boolean;
};

/** Adds tasks of a step that no worker of the pool may take now. */
export function addWaitingWork(state: SchedulerState, {definition, occurrence: {job}, number}: StepRun, {
	tasks, workers, refused, isLate,
}: UnplacedTasks): void {
	const demand = getDemand(state, getPoolOfJob(state, job));
	const need = getStepNeed(definition);
	demand.waitingTasks += tasks;
	addRefusals(demand, workers, refused);
	if (definition.isLongRunning) {
		demand.waitingLongRunning = addResources(demand.waitingLongRunning, need, tasks);
		addUnplaceable(demand, definition, tasks, refused);
	} else {
		const name = isLate ? 'lateWork' : 'waitingWork';
		demand[name] = addResources(demand[name], need, tasks * estimateMeanMs(state, job, number));
	}
}

/** Adds long-running tasks, unless they only wait for an answer, a rack or a trial. They do not end, so waiting for others to end would not help them. */
function addUnplaceable(demand: PoolDemand, definition: StepDefinition, tasks: number, refused: RefusedWorkers): void {
	if (refused.advice !== undefined || refused.rack !== undefined || refused.trial !== undefined) {
		return;
	}

	demand.unplaceable = addResources(demand.unplaceable, getStepNeed(definition), tasks);
	if (definition.maxPerWorker > 0) {
		demand.unplaceableSpread = Math.max(demand.unplaceableSpread, Math.ceil(tasks / definition.maxPerWorker));
	}
}

/** Records the workers that could be given tasks, once as many as possible have been placed. One that has shrunk counts as a part of a machine. */
export function noteUsableWorkers(state: SchedulerState, demand: PoolDemand, workers: readonly Worker[]): void {
	demand.usableMachines = 0;
	for (const worker of workers) {
		const share = computeOfferedShare(state.machines.get(worker.machineId ?? ''), worker);
		demand.usableMachines += share;
		// What a worker refuses that has shrunk may still go to another machine.
		demand.hasIdleWorker ||= worker.tasks.size === 0 && share === 1;
	}
}

/**
 * How many machines the pool needs so that each long-running task can be placed, whichever limit of placement keeps it
 * from the present workers. A task that does not go to a whole worker without any tasks would not go to another machine either.
 */
function countMachinesForUnplaceable({unplaceable, unplaceableSpread, usableMachines, hasIdleWorker}: PoolDemand, machine: Resources): number {
	const more = Math.max(unplaceableSpread, Math.ceil(computeDominantShare(unplaceable, machine)));
	return hasIdleWorker || more === 0 ? 0 : usableMachines + more;
}

/** Counts the workers that each limit kept from taking a task of one step, for the log. */
function addRefusals(demand: PoolDemand, workers: number, refused: RefusedWorkers): void {
	const entries = Object.entries(refused) as Array<[PlacementLimit, number]>;
	for (const [limit, count] of entries) {
		demand.refused[limit] = (demand.refused[limit] ?? 0) + count;
	}

	const withRoom = entries.reduce((sum, [, count]) => sum + count, 0);
	demand.refused.room = (demand.refused.room ?? 0) + workers - withRoom;
}

/** Updates the average rate of arrivals and computes how many machines of the given size the pool needs. */
export function updateDemand(state: SchedulerState, pool: PoolName, machine: Resources): PoolDemand {
	const demand = getDemand(state, pool);
	const elapsedMs = state.now - demand.updatedAt;
	if (elapsedMs <= 0 || machine.cpu <= 0) {
		return demand;
	}

	addArrivals(demand.rate, {...demand.arrived, lastedMs: elapsedMs});
	demand.arrived = createSample();
	demand.updatedAt = state.now;
	const workersForSpread = demand.waitingTasks > 0 ? countWorkersForSpread(state, pool) : 0;
	const trialMachines = countTrialMachines(state, pool);
	const needs = computeNeeds(state, pool);
	const count = (needed: Resources) => Math.max(workersForSpread, countMachines(needed, machine)) + trialMachines;
	const forUnplaceable = countMachinesForUnplaceable(demand, machine);
	demand.loadMachines = Math.max(count(needs.load), forUnplaceable);
	demand.objectiveMachines = Math.max(count(needs.objective), forUnplaceable);
	demand.machines = Math.max(count(needs.all), forUnplaceable);
	updatePeak(state, demand, count(needs.all));
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

/** Resources for the arriving work and long-running tasks, with the waiting work of jobs that can still meet their objective, and with random peaks and late work too. */
function computeNeeds(state: SchedulerState, pool: PoolName): {readonly load: Resources; readonly objective: Resources; readonly all: Resources} {
	const {
		rate, waitingWork, lateWork, waitingLongRunning,
	} = getDemand(state, pool);
	const longRunning = addResources(sumLongRunning(state, pool), waitingLongRunning);
	const load = addResources(longRunning, rate.mean);
	const all = addResources(addResources(longRunning, computeRateWithPeaks(rate)), waitingWork, 1 / backlogClearMs);
	return {load, objective: addResources(load, waitingWork, 1 / backlogClearMs), all: addResources(all, lateWork, 1 / lateClearMs)};
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

/** Fewest workers that the open steps need because of their limit of tasks per worker. Those held back by a quota need none. */
function countWorkersForSpread(state: SchedulerState, pool: PoolName): number {
	let fewest = 0;
	for (const step of state.openSteps) {
		const {count, maxPerWorker} = step.definition;
		if (maxPerWorker > 0 && getPoolOfJob(state, step.occurrence.job) === pool && countAdmitted(state, step) > 0) {
			fewest = Math.max(fewest, Math.ceil(count / maxPerWorker));
		}
	}

	return fewest;
}
