/** Assigns waiting tasks to workers: the most urgent step first, each task to the worker that it leaves with the least unused capacity. */
import {isSuspect} from './health.js';
import {clearWaiting, getDemand, addWaitingWork} from './demand.js';
import {isAwaitingVerdict} from './crashes.js';
import {getPoolOfJob} from './queues.js';
import {addResources, doesFit} from './resources.js';
import {
	getFree, getNeed, getStepNeed, placeTask,
} from './tasks.js';
import {compareUrgency, computeUrgency, type Urgency} from './urgency.js';
import {getTicketState, requestAdvice} from './advice.js';
import {
	noteTrial, canJoin, isTrialNeeded, planTrials,
} from './trials.js';
import type {PoolName, Resources} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** Most tasks at once on a worker whose latest runs failed. */
const maxTasksWhileSuspect = 2;
/** A step waits for a worker in the rack of its data for up to this share of the time that it would lose in another rack. */
const maxRackWaitShare = 0.5;

/**
 * Places all tasks that fit. While an append to the ledger is in flight no start could be sent, so placement waits and
 * takes into account what arrives in the meantime.
 */
export function placeTasks(state: SchedulerState): void {
	const {role, commit, commitNotBefore} = state.leadership;
	if (!state.needsPlacement || role !== 'leader' || state.isStopping || commit !== undefined || state.now < commitNotBefore) {
		return;
	}

	state.needsPlacement = false;
	for (const demand of state.demand.values()) {
		clearWaiting(demand);
	}

	const workersByPool = listUsableWorkers(state);
	planTrials(state, workersByPool, canHost);
	for (const {step} of sortSteps(state)) {
		const pool = getPoolOfJob(state, step.occurrence.job);
		placeStep(state, step, workersByPool.get(pool) ?? [], pool);
	}
}

/** True if a worker may be given new tasks. */
export function isUsable(state: SchedulerState, worker: Worker): boolean {
	return worker.isListed && worker.isPolledByLeader && !worker.isDraining && !worker.isReserved
		&& worker.unknownRuns.size === 0 && worker.failedPolls === 0 && worker.quarantinedUntil <= state.now;
}

function listUsableWorkers(state: SchedulerState): Map<PoolName, Worker[]> {
	const workers = new Map<PoolName, Worker[]>();
	for (const worker of state.workers.values()) {
		if (isUsable(state, worker)) {
			const pool = workers.get(worker.pool);
			if (pool) {
				pool.push(worker);
			} else {
				workers.set(worker.pool, [worker]);
			}
		}
	}

	return workers;
}

/** The steps that may start, most urgent first. */
function sortSteps(state: SchedulerState): Urgency[] {
	return [...state.openSteps].map(step => computeUrgency(state, step)).toSorted(compareUrgency);
}

function placeStep(state: SchedulerState, step: StepRun, workers: readonly Worker[], pool: PoolName): void {
	const waiting = step.tasks.filter(task => task.status === 'waiting' && !isAwaitingVerdict(state, task));
	const candidates = workers.filter(worker => hasLabel(step, worker));
	const placed = step.definition.isGang
		? placeGang(state, step, waiting, candidates)
		: placeEach(state, step, waiting, candidates);
	const left = waiting.length - placed;
	if (left > 0) {
		addWaitingWork(getDemand(state, pool), step, left);
	}
}

function hasLabel(step: StepRun, worker: Worker): boolean {
	const {requiredLabel} = step.definition;
	return requiredLabel === '' || worker.labels.has(requiredLabel);
}

/** True if a worker could run a task apart from its present load. */
function canHost(state: SchedulerState, task: Task, worker: Worker): boolean {
	const {step} = task;
	const isFull = step.definition.maxPerWorker > 0 && countTasksOfStep(step, worker) >= step.definition.maxPerWorker;
	return hasLabel(step, worker) && !isFull && getTicketState(state, step, worker) !== 'bad';
}

function placeEach(state: SchedulerState, step: StepRun, waiting: readonly Task[], candidates: readonly Worker[]): number {
	const capacities = listFreeCapacities(step, candidates);
	let placed = 0;
	let isFull = false;
	for (const task of waiting) {
		const isTrial = isTrialNeeded(state, task);
		const worker = isFull && !isTrial ? undefined : chooseWorker(state, task, capacities);
		if (!worker) {
			isFull ||= !isTrial;
			continue;
		}

		takeCapacity(capacities, worker, task);
		noteTrial(state, task, worker);
		placeTask(state, task, worker, task.run + 1);
		placed++;
	}

	return placed;
}

/** Places all tasks of a gang or none; they share one run number. */
function placeGang(state: SchedulerState, step: StepRun, waiting: readonly Task[], candidates: readonly Worker[]): number {
	if (waiting.length < step.definition.count) {
		return 0;
	}

	const capacities = listFreeCapacities(step, candidates);
	const chosen: Array<{task: Task; worker: Worker}> = [];
	for (const task of waiting) {
		const worker = chooseWorker(state, task, capacities);
		if (!worker) {
			return 0;
		}

		takeCapacity(capacities, worker, task);
		if (isTrialNeeded(state, task)) {
			// No other member may start beside it.
			capacities.delete(worker);
		}

		chosen.push({task, worker});
	}

	const run = Math.max(...step.tasks.map(task => task.run)) + 1;
	const checkpoint = waiting.find(task => task.checkpoint !== '')?.checkpoint ?? '';
	for (const {task, worker} of chosen) {
		task.checkpoint = checkpoint;
		noteTrial(state, task, worker);
		placeTask(state, task, worker, run);
	}

	return chosen.length;
}

type FreeCapacity = {free: Resources; tasksOfStep: number};

function takeCapacity(capacities: ReadonlyMap<Worker, FreeCapacity>, worker: Worker, task: Task): void {
	const capacity = capacities.get(worker)!;
	capacity.free = addResources(capacity.free, getNeed(task), -1);
	capacity.tasksOfStep++;
}

/** Free capacity of the workers on which at least one task of the step fits. */
function listFreeCapacities(step: StepRun, workers: readonly Worker[]): Map<Worker, FreeCapacity> {
	const need = getStepNeed(step.definition);
	const capacities = new Map<Worker, FreeCapacity>();
	for (const worker of workers) {
		const free = getFree(worker);
		if (doesFit(need, free)) {
			capacities.set(worker, {free, tasksOfStep: countTasksOfStep(step, worker)});
		}
	}

	return capacities;
}

function countTasksOfStep(step: StepRun, worker: Worker): number {
	return step.definition.maxPerWorker > 0 ? step.tasks.filter(task => task.worker === worker).length : 0;
}

function chooseWorker(state: SchedulerState, task: Task, capacities: ReadonlyMap<Worker, FreeCapacity>): Worker | undefined {
	const {definition} = task.step;
	const need = getNeed(task);
	const withoutAdvice: Worker[] = [];
	let best: Worker | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	const rack = chooseRack(state, task);
	for (const [worker, capacity] of capacities) {
		const isFull = definition.maxPerWorker > 0 && capacity.tasksOfStep >= definition.maxPerWorker;
		const isSuspectFull = isSuspect(worker) && worker.tasks.size >= maxTasksWhileSuspect;
		if (isFull || isSuspectFull || !doesFit(need, capacity.free) || (rack.isRequired && worker.rack !== rack.name)) {
			continue;
		}

		if (!canJoin(state, task, worker)) {
			continue;
		}

		const ticket = getTicketState(state, task.step, worker);
		if (ticket === 'unknown') {
			withoutAdvice.push(worker);
		}

		if (ticket !== 'good') {
			continue;
		}

		const score = scoreWorker(task, worker, capacity.free, rack.name);
		if (score < bestScore) {
			best = worker;
			bestScore = score;
		}
	}

	if (!best && withoutAdvice.length > 0) {
		requestAdvice(state, task.step, withoutAdvice);
	}

	return best;
}

// Each penalty is at least as large as the sum of the smaller ones and of the packing score, which is at most 1.
/** Keeps workers without long-running tasks free: they can be drained quickly, and their machines moved to another pool. */
const drainablePenalty = 1;
const remoteRackPenalty = 4;
const suspectPenalty = 8;
const failedBeforePenalty = 16;

/**
 * Score of a worker for a task; lower is better. Tasks are packed onto the fullest workers, preferably those that run
 * long-running tasks anyway; fillers go to the worker with the most unused processor.
 */
function scoreWorker(task: Task, worker: Worker, free: Resources, rack: string | undefined): number {
	const cpuShare = free.cpu / Math.max(1, worker.capacity.cpu);
	const memoryShare = free.memoryMb / Math.max(1, worker.capacity.memoryMb);
	let score = task.step.definition.isFiller ? 1 - cpuShare : (cpuShare + memoryShare) / 2;
	score += worker.longRunningTasks === 0 && !task.step.definition.isFiller ? drainablePenalty : 0;
	score += rack !== undefined && worker.rack !== rack ? remoteRackPenalty : 0;
	score += isSuspect(worker) ? suspectPenalty : 0;
	score += task.failedOn.has(worker.id) ? failedBeforePenalty : 0;
	return score;
}

type RackChoice = {readonly name: string | undefined; readonly isRequired: boolean};

/** The rack preferred for a task: that of its step's running tasks or data. It is mandatory until the task has waited for `maxRackWaitShare` of the time that another rack would cost. */
function chooseRack(state: SchedulerState, task: Task): RackChoice {
	const {definition, tasks} = task.step;
	const used = definition.isSameRack ? tasks.find(other => other.worker !== undefined)?.worker?.rack : undefined;
	const name = used ?? definition.dataRack;
	if (name === '') {
		return {name: undefined, isRequired: false};
	}

	const lossMs = definition.estimateMs * (state.settings.remoteRackFactor - 1);
	return {name, isRequired: state.now - task.readyAt < lossMs * maxRackWaitShare};
}
