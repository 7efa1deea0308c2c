/** Assigns waiting tasks to workers, the most urgent step first. */
import {canReportEnds} from './acknowledgements.js';
import {updateUncertainUse} from './account-use.js';
import {isHeldBack} from './crashes.js';
import {
	addStepWork, addWaitingWork, clearWaiting, getDemand, noteUsableWorkers,
} from './demand.js';
import {isQuarantined, isProbeDue} from './health.js';
import {findBindingWorker, isBoundByLateStart} from './late-starts.js';
import {buildTask, countUnbuilt} from './occurrences.js';
import {hasTooLongLease} from './open-leases.js';
import {getPoolOfJob, hasAccounts} from './queues.js';
import {clearQuotas, countAdmitted, noteHeldBack} from './quotas.js';
import {orderByShare} from './shares.js';
import {getStepNeed, hasRoomFor, placeTask} from './tasks.js';
import {compareUrgency, computeUrgency, type Urgency} from './urgency.js';
import {
	canHost, chooseWorker, hasLabel, listFreeCapacities, takeCapacity, type FreeCapacity,
} from './worker-choice.js';
import {
	isTrialNeeded, noteTrial, planTrials,
} from './trials.js';
import type {PoolName, Resources} from './types.js';
import type {
	RefusedWorkers, SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** A gang that does not fit keeps at most so many of the members that were built to place it. */
const maxBuiltMembers = 64;

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
	updateUncertainUse(state);
	for (const demand of state.demand.values()) {
		clearWaiting(demand);
	}

	const usable = groupByPool(state, worker => isUsable(state, worker));
	const setAside = groupByPool(state, worker => isUsableOrSetAside(state, worker) && isProbeDue(state, worker));
	planTrials(state, usable, canHost);
	const sorted = sortSteps(state);
	const least = findLeastNeeds(state, sorted);
	const withRoom = new Map(usable);
	for (const {step} of hasAccounts(state) ? orderByShare(state, sorted) : sorted) {
		const pool = getPoolOfJob(state, step.occurrence.job);
		const workers = withRoom.get(pool) ?? [];
		const full = (usable.get(pool)?.length ?? 0) - workers.length;
		const isChanged = placeStep(state, step, pool, {usable: workers, full, setAside: setAside.get(pool) ?? []});
		if (isChanged || full === 0) {
			withRoom.set(pool, workers.filter(worker => hasRoomFor(least.get(pool)!, worker)));
		}
	}

	for (const [pool, workers] of usable) {
		noteUsableWorkers(state, getDemand(state, pool), workers);
	}

	clearQuotas(state);
}

/** True if a worker may be given new tasks. */
export function isUsable(state: SchedulerState, worker: Worker): boolean {
	return isUsableOrSetAside(state, worker) && !isQuarantined(state, worker);
}

/** The same, also for a worker that is set aside and may be given a long-running task as a probe. */
export function isUsableOrSetAside(state: SchedulerState, worker: Worker): boolean {
	return isSound(worker) && worker.pausedUntil <= state.now;
}

/** True if a worker answers, stays in its pool and runs only what this leader knows. */
function isSound(worker: Worker): boolean {
	return worker.isListed && worker.isPolledByLeader && !worker.isDraining && !worker.isReserved
		&& worker.unknownRuns.size === 0 && worker.failedPolls === 0 && worker.reportedBirth === undefined;
}

function groupByPool(state: SchedulerState, isCandidate: (worker: Worker) => boolean): Map<PoolName, Worker[]> {
	const workers = new Map<PoolName, Worker[]>();
	for (const worker of state.workers.values()) {
		if (isCandidate(worker)) {
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

/** The steps that may start, most urgent first, apart from the shares of accounts. */
function sortSteps(state: SchedulerState): Urgency[] {
	return [...state.openSteps].map(step => computeUrgency(state, step)).toSorted(compareUrgency);
}

/** The least that a step of each pool needs, for each resource by itself: a worker without it has no room for any of them. */
function findLeastNeeds(state: SchedulerState, steps: readonly Urgency[]): Map<PoolName, Resources> {
	const least = new Map<PoolName, Resources>();
	for (const {step} of steps) {
		const pool = getPoolOfJob(state, step.occurrence.job);
		const need = getStepNeed(step.definition);
		const former = least.get(pool) ?? need;
		least.set(pool, {cpu: Math.min(former.cpu, need.cpu), memoryMb: Math.min(former.memoryMb, need.memoryMb), gpu: Math.min(former.gpu, need.gpu)});
	}

	return least;
}

/** The usable workers that may have room, the number of those that have none, and the workers that were set aside. */
type PoolWorkers = {readonly usable: readonly Worker[]; readonly full: number; readonly setAside: readonly Worker[]};

/** Places what fits of a step; returns whether it placed any task. */
function placeStep(state: SchedulerState, step: StepRun, pool: PoolName, {usable, full, setAside}: PoolWorkers): boolean {
	const waiting = step.tasks.filter(task => task.status === 'waiting' && !isHeldBack(state, task));
	const count = waiting.length + countUnbuilt(step);
	if (count === 0) {
		return false;
	}

	const limit = countAdmitted(state, step);
	if (limit < count) {
		noteHeldBack(state, step);
	}

	if (limit === 0 || (step.definition.isGang && limit < count)) {
		return false;
	}

	const candidates = usable.filter(worker => hasLabel(step, worker) && canReportEnds(step, worker));
	const {placed, refused} = placeOnCandidates(state, {step, waiting, limit}, candidates);
	// A task that is bound to a worker does not wait for room: other machines would not help it.
	const bound = waiting.filter(task => task.status === 'waiting' && isBoundByLateStart(state, task)).length;
	const left = Math.min(count, limit) - placed - bound;
	if (left > 0) {
		addWaitingWork(state, pool, step, {tasks: left, workers: candidates.length + full, refused});
		placeAsProbe(state, step, setAside);
	}

	return placed > 0;
}

/** Places tasks on the workers that may take them; long-running ones first where a successor would not wait too long for the end of their leases. */
function placeOnCandidates(state: SchedulerState, tasks: PlaceableTasks, candidates: readonly Worker[]): Placement {
	const {step, limit} = tasks;
	const place = step.definition.isGang ? placeGang : placeEach;
	const preferred = step.definition.isLongRunning ? candidates.filter(worker => !hasTooLongLease(state, worker)) : candidates;
	const first = place(state, tasks, listFreeCapacities(state, step, preferred));
	if (preferred.length === candidates.length || first.placed >= limit) {
		return first;
	}

	const waiting = tasks.waiting.filter(({status}) => status === 'waiting');
	const second = place(state, {step, waiting, limit: limit - first.placed}, listFreeCapacities(state, step, candidates));
	return {placed: first.placed + second.placed, refused: second.refused};
}

/** Places long-running tasks that no other worker takes, one each, on workers that were set aside: they may be well again, and the tasks do not end by themselves however long they wait. */
function placeAsProbe(state: SchedulerState, step: StepRun, setAside: readonly Worker[]): void {
	if (!step.definition.isLongRunning || step.definition.isGang) {
		return;
	}

	for (const worker of setAside) {
		const task = hasLabel(step, worker) && isProbeDue(state, worker) ? findPlaceableTask(state, step) : undefined;
		if (task) {
			placeEach(state, {step, waiting: [task], limit: Math.min(1, countAdmitted(state, step))}, listFreeCapacities(state, step, [worker]));
		}
	}
}

function findPlaceableTask(state: SchedulerState, step: StepRun): Task | undefined {
	const built = step.tasks.find(task => task.status === 'waiting' && !isHeldBack(state, task));
	return built ?? (countUnbuilt(step) > 0 ? buildTask(step) : undefined);
}

/** Places a task on a worker. The work of a job that a quota held back counts as arrived now. */
function startTask(state: SchedulerState, task: Task, worker: Worker, run: number): void {
	const {number, occurrence: {job}} = task.step;
	if (job.isWorkDeferred && task.run === 0) {
		addStepWork(state, job, number, 1);
	}

	placeTask(state, task, worker, run);
}

/** How many tasks were placed, and what kept the workers from taking the last of the others. */
type Placement = {readonly placed: number; readonly refused: RefusedWorkers};

/** Tasks of a step that may be placed now, up to `limit`: those in `waiting`, and those that have not been built. */
type PlaceableTasks = {readonly step: StepRun; readonly waiting: readonly Task[]; readonly limit: number};

/** The tasks in `waiting`, and after them those that are built for the purpose, as long as `canGoOn` says so. */
function * listPlaceable({step, waiting}: PlaceableTasks, canGoOn: () => boolean): Iterable<Task> {
	yield * waiting;
	while (countUnbuilt(step) > 0 && canGoOn()) {
		yield buildTask(step);
	}
}

/** The capacities of the workers to choose from: for a task that is bound to a worker, that one alone. */
function listCapacitiesFor(state: SchedulerState, task: Task, capacities: ReadonlyMap<Worker, FreeCapacity>): ReadonlyMap<Worker, FreeCapacity> {
	const worker = findBindingWorker(state, task);
	if (!worker) {
		return capacities;
	}

	const capacity = capacities.get(worker);
	return new Map(capacity ? [[worker, capacity]] : []);
}

/** Places up to `limit` of the tasks. */
function placeEach(state: SchedulerState, tasks: PlaceableTasks, capacities: ReadonlyMap<Worker, FreeCapacity>): Placement {
	const {limit} = tasks;
	let placed = 0;
	let refused: RefusedWorkers = {};
	let isFull = false;
	let hasRefused = false;
	for (const task of listPlaceable(tasks, () => placed < limit && !hasRefused)) {
		if (placed >= limit) {
			break;
		}

		const isLimited = isTrialNeeded(state, task) || isBoundByLateStart(state, task);
		if (isFull && !isLimited) {
			continue;
		}

		const choice = chooseWorker(state, task, listCapacitiesFor(state, task, capacities));
		if (choice.worker) {
			takeCapacity(capacities, choice.worker, task);
			noteTrial(state, task, choice.worker);
			startTask(state, task, choice.worker, task.run + 1);
			placed++;
			continue;
		}

		refused = choice.refused;
		hasRefused ||= !isLimited;
		// Apart from suspects and those bound to a worker, the tasks of a step differ only in how long they have waited for their rack.
		isFull ||= !isLimited && refused.rack === undefined;
	}

	return {placed, refused};
}

/** Places all tasks of a gang or none; they share one run number. */
function placeGang(state: SchedulerState, placeable: PlaceableTasks, capacities: Map<Worker, FreeCapacity>): Placement {
	const {step: {tasks, definition}, waiting} = placeable;
	const builtBefore = tasks.length;
	if (waiting.length + countUnbuilt(placeable.step) < definition.count) {
		return {placed: 0, refused: {}};
	}

	const chosen: Array<{task: Task; worker: Worker}> = [];
	for (const task of listPlaceable(placeable, () => true)) {
		const choice = chooseWorker(state, task, capacities);
		if (!choice.worker) {
			// Members of a large gang that waits are built again with the next attempt.
			tasks.length = Math.max(builtBefore, Math.min(tasks.length, maxBuiltMembers));
			return {placed: 0, refused: choice.refused};
		}

		takeCapacity(capacities, choice.worker, task);
		if (isTrialNeeded(state, task)) {
			// No other member may start beside it.
			capacities.delete(choice.worker);
		}

		chosen.push({task, worker: choice.worker});
	}

	const run = Math.max(...tasks.map(task => task.run)) + 1;
	const checkpoint = tasks.find(task => task.checkpoint !== '')?.checkpoint ?? '';
	for (const {task, worker} of chosen) {
		task.checkpoint = checkpoint;
		noteTrial(state, task, worker);
		startTask(state, task, worker, run);
	}

	return {placed: chosen.length, refused: {}};
}
