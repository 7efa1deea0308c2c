/** Shared by machines drained for upkeep and workers that drain: which long-running tasks may be stopped, and whether they have room elsewhere. */
import {getTicketState} from './advice.js';
import {getDemand} from './demand.js';
import {countUnbuilt} from './occurrences.js';
import {isUsable} from './placement.js';
import {getPoolOfJob} from './queues.js';
import {addResources} from './resources.js';
import {getNeed} from './tasks.js';
import {
	chooseWorker, hasLabel, listFreeCapacities, type FreeCapacity,
} from './worker-choice.js';
import type {PoolName} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

const fullPercent = 100;
/** A restarted long-running task counts as unavailable for this long. */
const minAvailableMs = 700;
/** A request for a replacement machine expires after this time unless it is renewed. */
const replacementRequestMs = 1000;

/** A task that is to run on another worker, which must keep room for it. */
export type PlannedMove = {readonly task: Task; readonly worker: Worker};

/** True if stopping a long-running task leaves enough tasks of its step available. */
export function canDisplace(state: SchedulerState, task: Task): boolean {
	const {maxUnavailable} = task.step.definition;
	return maxUnavailable === 0 || countOthersUnavailable(state, task) < maxUnavailable;
}

/** How many other tasks of a task's step are not known to be at work. */
export function countOthersUnavailable(state: SchedulerState, task: Task): number {
	const {step} = task;
	return step.tasks.filter(other => other !== task && !isAvailable(state, other)).length + countUnbuilt(step);
}

function isAvailable(state: SchedulerState, task: Task): boolean {
	return task.status === 'running' && task.percent >= fullPercent && state.now - task.startedAt > minAvailableMs
		&& task.worker?.failedPolls === 0;
}

/** True if another worker would take a task if it were stopped now; asks for advice if that may change the answer. */
export function hasRoom(state: SchedulerState, task: Task): boolean {
	let hasUnknown = false;
	for (const worker of state.workers.values()) {
		if (!isCandidate(state, task, worker)) {
			continue;
		}

		const ticket = getTicketState(state, task.step, worker);
		hasUnknown ||= ticket === 'unknown';
		if (ticket === 'good' && chooseWorker(state, task, listFreeCapacities(state, task.step, [worker])).worker) {
			return true;
		}
	}

	return hasUnknown && findRoom(state, task, []) !== undefined;
}

/** The worker that would take a task if it were stopped now, beside the moves that are planned; asks for advice if that may change the answer. */
export function findRoom(state: SchedulerState, task: Task, planned: readonly PlannedMove[]): Worker | undefined {
	const workers = [...state.workers.values()].filter(worker => isCandidate(state, task, worker));
	const capacities = listFreeCapacities(state, task.step, workers);
	for (const move of planned) {
		reserveRoom(capacities, task, move);
	}

	return chooseWorker(state, task, capacities).worker;
}

function isCandidate(state: SchedulerState, {step, worker: current}: Task, worker: Worker): boolean {
	return worker !== current && worker.pool === getPoolOfJob(state, step.occurrence.job) && hasLabel(step, worker) && isUsable(state, worker);
}

/** Deducts a planned move from the capacity left for a task. */
function reserveRoom(capacities: ReadonlyMap<Worker, FreeCapacity>, {step}: Task, {task, worker}: PlannedMove): void {
	const capacity = capacities.get(worker);
	if (capacity) {
		capacity.free = addResources(capacity.free, getNeed(task), -1);
		capacity.tasksOfStep += task.step === step ? 1 : 0;
		capacity.probeRunsLeft--;
	}
}

/** Asks for a machine that takes long-running tasks of another of the pool. */
export function requestReplacement(state: SchedulerState, pool: PoolName): void {
	getDemand(state, pool).replacementUntil = state.now + replacementRequestMs;
}
