/** Chooses the worker for a task: which may take it, and which of them is best. */
import {getTicketState, requestAdvice} from './advice.js';
import {countProbeRunsLeft, isSuspect} from './health.js';
import {canStartBesideLate} from './late-starts.js';
import {addResources, doesFit} from './resources.js';
import {getFree, getNeed, getStepNeed} from './tasks.js';
import {canJoin} from './trials.js';
import type {Resources} from './types.js';
import type {
	PlacementLimit, RefusedWorkers, SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** A step waits for a worker in the rack of its data for up to this share of the time that it would lose in another rack. */
const maxRackWaitShare = 0.5;

/** What a worker still has for a step, less what was chosen for it in the same pass. */
export type FreeCapacity = {free: Resources; tasksOfStep: number; probeRunsLeft: number};

/** Deducts a task from the capacity of the worker chosen for it. */
export function takeCapacity(capacities: ReadonlyMap<Worker, FreeCapacity>, worker: Worker, task: Task): void {
	const capacity = capacities.get(worker)!;
	capacity.free = addResources(capacity.free, getNeed(task), -1);
	capacity.tasksOfStep++;
	capacity.probeRunsLeft--;
}

/** Free capacity of the workers on which at least one task of the step fits. */
export function listFreeCapacities(state: SchedulerState, step: StepRun, workers: readonly Worker[]): Map<Worker, FreeCapacity> {
	const need = getStepNeed(step.definition);
	const capacities = new Map<Worker, FreeCapacity>();
	for (const worker of workers) {
		const free = getFree(worker);
		if (doesFit(need, free)) {
			capacities.set(worker, {free, tasksOfStep: countTasksOfStep(step, worker), probeRunsLeft: countProbeRunsLeft(state, worker)});
		}
	}

	return capacities;
}

/** True if a worker has the label that a step requires, if any. */
export function hasLabel({definition: {requiredLabel}}: StepRun, worker: Worker): boolean {
	return requiredLabel === '' || worker.labels.has(requiredLabel);
}

/** True if a worker could run a task apart from its present load. */
export function canHost(state: SchedulerState, {step}: Task, worker: Worker): boolean {
	const {maxPerWorker} = step.definition;
	const isFull = maxPerWorker > 0 && countTasksOfStep(step, worker) >= maxPerWorker;
	return hasLabel(step, worker) && !isFull && getTicketState(state, step, worker) !== 'bad';
}

function countTasksOfStep(step: StepRun, worker: Worker): number {
	return step.definition.maxPerWorker > 0 ? step.tasks.filter(task => task.worker === worker).length : 0;
}

type WorkerChoice = {readonly worker: Worker} | {readonly worker: undefined; readonly refused: RefusedWorkers};

/**
 * Chooses the worker for a task: the one that it leaves with the least unused capacity. If there is none, tells what
 * kept the workers from taking it, and asks the advice service if its answer may change that.
 */
export function chooseWorker(state: SchedulerState, task: Task, capacities: ReadonlyMap<Worker, FreeCapacity>): WorkerChoice {
	const refused: RefusedWorkers = {};
	const withoutAdvice: Worker[] = [];
	let best: Worker | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	const rack = chooseRack(state, task);
	for (const [worker, capacity] of capacities) {
		const limit = findLimit(state, task, {worker, capacity, rack});
		if (limit !== undefined) {
			refused[limit] = (refused[limit] ?? 0) + 1;
			continue;
		}

		const ticket = getTicketState(state, task.step, worker);
		if (ticket === 'unknown') {
			withoutAdvice.push(worker);
		}

		if (ticket !== 'good') {
			const kind = ticket === 'unknown' ? 'advice' : 'ticket';
			refused[kind] = (refused[kind] ?? 0) + 1;
			continue;
		}

		const score = scoreWorker(state, task, {worker, free: capacity.free, rack: rack.name});
		if (score < bestScore) {
			best = worker;
			bestScore = score;
		}
	}

	if (best) {
		return {worker: best};
	}

	if (withoutAdvice.length > 0) {
		requestAdvice(state, task.step, withoutAdvice);
	}

	return {worker: undefined, refused};
}

type Candidate = {readonly worker: Worker; readonly capacity: FreeCapacity; readonly rack: RackChoice};

/** The first limit, other than tickets, that keeps a worker from taking a task. */
function findLimit(state: SchedulerState, task: Task, {worker, capacity, rack}: Candidate): PlacementLimit | undefined {
	const {definition} = task.step;
	if (!canStartBesideLate(state, task, worker)) {
		return 'late-start';
	}

	if (!doesFit(getStepNeed(definition), capacity.free)) {
		return 'room';
	}

	if (definition.maxPerWorker > 0 && capacity.tasksOfStep >= definition.maxPerWorker) {
		return 'spread';
	}

	if (capacity.probeRunsLeft <= 0) {
		return 'suspect';
	}

	if (rack.isRequired && worker.rack !== rack.name) {
		return 'rack';
	}

	return canJoin(state, task, worker) ? undefined : 'trial';
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
function scoreWorker(state: SchedulerState, task: Task, {worker, free, rack}: {readonly worker: Worker; readonly free: Resources; readonly rack: string | undefined}): number {
	const cpuShare = free.cpu / Math.max(1, worker.capacity.cpu);
	const memoryShare = free.memoryMb / Math.max(1, worker.capacity.memoryMb);
	let score = task.step.definition.isFiller ? 1 - cpuShare : (cpuShare + memoryShare) / 2;
	score += worker.longRunningTasks === 0 && !task.step.definition.isFiller ? drainablePenalty : 0;
	score += rack !== undefined && worker.rack !== rack ? remoteRackPenalty : 0;
	score += isSuspect(state, worker) ? suspectPenalty : 0;
	score += task.failedOn.has(worker.id) ? failedBeforePenalty : 0;
	return score;
}

type RackChoice = {readonly name: string | undefined; readonly isRequired: boolean};

/**
 * The rack preferred for a task: that of its step's running tasks or data. It is mandatory until the task has waited for
 * `maxRackWaitShare` of the time that another rack would cost; never for a long-running task, which loses more while it waits.
 */
function chooseRack(state: SchedulerState, task: Task): RackChoice {
	const {definition, tasks} = task.step;
	const used = definition.isSameRack ? tasks.find(other => other.worker !== undefined)?.worker?.rack : undefined;
	const name = used ?? definition.dataRack;
	if (name === '') {
		return {name: undefined, isRequired: false};
	}

	const lossMs = definition.estimateMs * (state.settings.remoteRackFactor - 1);
	return {name, isRequired: !definition.isLongRunning && state.now - task.readyAt < lossMs * maxRackWaitShare};
}
