/**
 * Demand of each pool for machines. Load comes in bursts that alternate between pools: for some seconds a pool receives
 * several times its mean load, and little in between.
 *
 * A moving average over a short time tracks the rate of arriving work, so that machines are requested when a burst begins
 * rather than when its queue has grown. The peak of the last seconds is kept, so that machines are not given away during a
 * short lull. Processor, memory and accelerators are tracked separately: long-running tasks often fill the memory of
 * machines whose processors are half idle, and the size of the pool follows the scarcest resource.
 */
import {computeOfferedShare} from './machine-workers.js';
import {getPoolOfJob} from './queues.js';
import {countAdmitted} from './quotas.js';
import {
	addResources, computeDominantShare, noResources, computeMultiple,
} from './resources.js';
import {estimateMeanMs} from './run-times.js';
import {getStepNeed} from './tasks.js';
import {countTrialMachines} from './trials.js';
import type {PoolName, Resources, StepDefinition} from './types.js';
import type {
	Job, PlacementLimit, PoolDemand, RefusedWorkers, SchedulerState, StepRun, Worker,
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
			waitingTasks: 0, waitingWork: noResources, waitingLongRunning: noResources, refused: {}, unplaceable: noResources, unplaceableSpread: 0, usableMachines: 0, hasIdleWorker: false, arrivedWork: noResources, rate: noResources, slowRate: noResources, updatedAt: state.now, machines: 0, missing: 0, peakMachines: 0, peakUntil: 0, replacementUntil: 0, leavingWithoutRoom: 0,
		};
		state.demand.set(pool, demand);
	}

	return demand;
}

/** Adds the work of an accepted job to the arrivals of its pool. */
export function addArrivedWork(state: SchedulerState, job: Job): void {
	for (const [number, step] of job.definition.steps.entries()) {
		addStepWork(state, job, number, step.count);
	}
}

/** Adds the work of some tasks of a job's step, given by its position, to the arrivals of its pool. */
export function addStepWork(state: SchedulerState, job: Job, number: number, tasks: number): void {
	const step = job.definition.steps[number];
	if (step && !step.isLongRunning) {
		const demand = getDemand(state, getPoolOfJob(state, job));
		demand.arrivedWork = addResources(demand.arrivedWork, getStepNeed(step), tasks * estimateMeanMs(state, job, number));
	}
}

/** Resets the waiting work before it is counted again. */
export function clearWaiting(demand: PoolDemand): void {
	demand.waitingTasks = 0;
	demand.waitingWork = noResources;
	demand.waitingLongRunning = noResources;
	demand.refused = {};
	demand.unplaceable = noResources;
	demand.unplaceableSpread = 0;
	demand.usableMachines = 0;
	demand.hasIdleWorker = false;
}

/** Tasks of a step that were not placed, the number of usable workers with the step's label, and what kept those with room from taking the next task. */
export type UnplacedTasks = {readonly tasks: number; readonly workers: number; readonly refused: RefusedWorkers};

/** Adds tasks of a step that no worker of the pool may take now. */
export function addWaitingWork(state: SchedulerState, pool: PoolName, {definition, occurrence, number}: StepRun, {tasks, workers, refused}: UnplacedTasks): void {
	const demand = getDemand(state, pool);
	const need = getStepNeed(definition);
	demand.waitingTasks += tasks;
	addRefusals(demand, workers, refused);
	if (definition.isLongRunning) {
		demand.waitingLongRunning = addResources(demand.waitingLongRunning, need, tasks);
		addUnplaceable(demand, definition, tasks, refused);
	} else {
		demand.waitingWork = addResources(demand.waitingWork, need, tasks * estimateMeanMs(state, occurrence.job, number));
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

	const latestRate = computeMultiple(demand.arrivedWork, 1 / elapsedMs);
	demand.rate = addResources(computeMultiple(demand.rate, 1 - fastWeight), latestRate, fastWeight);
	demand.slowRate = addResources(computeMultiple(demand.slowRate, 1 - slowWeight), latestRate, slowWeight);
	demand.arrivedWork = noResources;
	demand.updatedAt = state.now;
	const needed = computeNeed(state, pool);
	const workersForSpread = demand.waitingTasks > 0 ? countWorkersForSpread(state, pool) : 0;
	const trialMachines = countTrialMachines(state, pool);
	const forLoad = Math.max(workersForSpread, countMachines(addResources(needed, computeExpectedRise(demand)), machine)) + trialMachines;
	demand.machines = Math.max(forLoad, countMachinesForUnplaceable(demand, machine));
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

type NeedPart = 'forArrivals' | 'forWaiting' | 'forLongRunning';

/** What the need of a pool consists of, apart from the expected rise of its rate. */
function listNeeds(state: SchedulerState, pool: PoolName): Record<NeedPart, Resources> {
	const {rate, waitingWork, waitingLongRunning} = getDemand(state, pool);
	return {
		forArrivals: computeMultiple(rate, headroom),
		forWaiting: computeMultiple(waitingWork, 1 / backlogClearMs),
		forLongRunning: addResources(sumLongRunning(state, pool), waitingLongRunning),
	};
}

function computeNeed(state: SchedulerState, pool: PoolName): Resources {
	const {forArrivals, forWaiting, forLongRunning} = listNeeds(state, pool);
	return addResources(addResources(forLongRunning, forArrivals), forWaiting);
}

/** For the log: machines that each part of a pool's need would take by itself. */
export function describeNeed(state: SchedulerState, pool: PoolName, machine: Resources): Record<NeedPart | 'forRise', number> {
	const {forArrivals, forWaiting, forLongRunning} = listNeeds(state, pool);
	return {
		forArrivals: countMachines(forArrivals, machine),
		forRise: countMachines(computeExpectedRise(getDemand(state, pool)), machine),
		forWaiting: countMachines(forWaiting, machine),
		forLongRunning: countMachines(forLongRunning, machine),
	};
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
