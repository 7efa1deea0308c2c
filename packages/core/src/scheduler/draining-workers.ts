/**
 * Moves the tasks of workers that drain before they leave. What a worker takes along is away until its lease has lapsed; what
 * is stopped there starts elsewhere at once, from the checkpoint of the stop.
 *
 * Long-running tasks move as soon as another worker has room, those of a step that may miss few one after another while there
 * is time for that. Without room the pool asks for machines; just before the worker leaves they are stopped all the same, so
 * that only room is missing then. Short tasks stay, unless they would not end in time and a stop keeps their work.
 */
import {isConfirmedWithin} from './confirmation.js';
import {getDemand} from './demand.js';
import {
	canDisplace, countOthersUnavailable, findRoom, type PlannedMove,
} from './displacement.js';
import {noteDecision} from './logging.js';
import {listWaitingTasks} from './occurrences.js';
import {isJobOpen} from './phases.js';
import {getPoolOfJob} from './queues.js';
import {estimateMeanMs} from './run-times.js';
import {requestStop} from './tasks.js';
import {unconfirmedOrderMs} from './timing.js';
import type {PoolName} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

const checkIntervalMs = 100;
/** Time that the worker's report, an order to stop and the report of the end take, beyond the stop itself. */
const stopOverheadMs = 500;
/** Time until a task that was stopped counts as available again elsewhere, beyond the stop itself. */
const restartMs = 1500;
/** At most this many tasks wait for a start or are being stopped before others are stopped: each pass looks for room for all of them. */
const maxPlannedMoves = 64;
const fullPercent = 100;

/** A worker that drains, and the time that is left for orders to it. */
type Leaver = {readonly worker: Worker; readonly leftMs: number};

/** Where tasks are to start that wait or move, and the steps for whose tasks no room is left. */
type Plan = {readonly moves: PlannedMove[]; readonly fullSteps: Set<StepRun>};

/** Stops tasks at workers that drain, and counts the machines that must replace them. */
export function tickDrainingWorkers(state: SchedulerState): void {
	// What is stopped could not start elsewhere while the store does not answer.
	if (state.now < state.drainsDueAt || state.isStopping || !isConfirmedWithin(state, unconfirmedOrderMs)) {
		return;
	}

	state.drainsDueAt = state.now + checkIntervalMs;
	for (const demand of state.demand.values()) {
		demand.leavingWithoutRoom = 0;
	}

	const leavers = listLeavers(state);
	if (leavers.length === 0) {
		return;
	}

	const plan: Plan = {moves: [], fullSteps: new Set()};
	planWaiting(state, leavers, plan);
	for (const leaver of leavers) {
		drainWorker(state, leaver, plan);
	}
}

/** The workers that drain and have tasks, those that leave first before the others. */
function listLeavers(state: SchedulerState): Leaver[] {
	const leavers: Leaver[] = [];
	for (const worker of state.workers.values()) {
		if (worker.isDraining && worker.leavesAt !== undefined && worker.tasks.size > 0) {
			leavers.push({worker, leftMs: worker.leavesAt - state.settings.stopMs - stopOverheadMs - state.now});
		}
	}

	return leavers.toSorted((a, b) => a.leftMs - b.leftMs);
}

/** Plans the room that is taken: long-running tasks that wait or are being stopped will start there. */
function planWaiting(state: SchedulerState, leavers: readonly Leaver[], plan: Plan): void {
	const waiting = [...state.openSteps].filter(({definition}) => definition.isLongRunning).flatMap(step => listWaitingTasks(step, maxPlannedMoves));
	const stopping = leavers.flatMap(({worker}) => [...worker.tasks.values()].filter(({status}) => status === 'stopping'));
	for (const task of [...waiting, ...stopping]) {
		if (isFull(plan)) {
			return;
		}

		if (isLongRunning(task) && isJobOpen(task.step.occurrence.job)) {
			planMove(state, task, plan);
		}
	}
}

function isFull({moves}: Plan): boolean {
	return moves.length >= maxPlannedMoves;
}

function isLongRunning({step}: Task): boolean {
	return step.definition.isLongRunning;
}

/** Plans where a task is to start; returns whether there is room for it. */
function planMove(state: SchedulerState, task: Task, {moves, fullSteps}: Plan): boolean {
	const worker = fullSteps.has(task.step) ? undefined : findRoom(state, task, moves);
	if (!worker) {
		fullSteps.add(task.step);
		return false;
	}

	moves.push({task, worker});
	return true;
}

function drainWorker(state: SchedulerState, leaver: Leaver, plan: Plan): void {
	const poolsWithoutRoom = new Set<PoolName>();
	for (const task of leaver.worker.tasks.values()) {
		if (!task.isSent || task.status === 'stopping' || !isJobOpen(task.step.occurrence.job)) {
			continue;
		}

		if (!isLongRunning(task)) {
			stopUnfinished(state, leaver, task);
			continue;
		}

		const isTimeUp = leaver.leftMs <= 0;
		if (!isTimeUp && (isFull(plan) || !canMove(state, leaver, task))) {
			continue;
		}

		if (isFull(plan)) {
			stopTask(state, leaver, task, false);
			continue;
		}

		const hasRoom = listMovingWith(task).every(member => planMove(state, member, plan));
		if (!hasRoom) {
			poolsWithoutRoom.add(getPoolOfJob(state, task.step.occurrence.job));
		}

		if (isTimeUp || hasRoom) {
			stopTask(state, leaver, task, hasRoom);
		}
	}

	for (const pool of poolsWithoutRoom) {
		getDemand(state, pool).leavingWithoutRoom++;
	}
}

/** The tasks that need room if one is stopped: a gang ends as a whole, and its members elsewhere may start again where they were. */
function listMovingWith(task: Task): readonly Task[] {
	const {definition, tasks} = task.step;
	return definition.isGang ? tasks.filter(({worker}) => worker?.isDraining) : [task];
}

/** True if enough tasks of the step stay available, or as many have to move at once as the time requires. */
function canMove(state: SchedulerState, {leftMs}: Leaver, task: Task): boolean {
	if (task.status !== 'running') {
		return false;
	}

	const toMove = task.step.tasks.filter(({worker}) => worker?.isDraining).length;
	const atOnce = Math.ceil(toMove * (state.settings.stopMs + restartMs) / leftMs);
	return canDisplace(state, task) || countOthersUnavailable(state, task) < atOnce;
}

/** Stops a short task just before its worker leaves, if it would not end in time and a stop keeps its work. */
function stopUnfinished(state: SchedulerState, leaver: Leaver, task: Task): void {
	const {worker, leftMs} = leaver;
	if (leftMs > 0 || task.status !== 'running' || !task.step.definition.isCheckpointing) {
		return;
	}

	const {occurrence: {job}, number} = task.step;
	const unreportedMs = state.now - worker.lastAnswerAt;
	const restMs = (estimateMeanMs(state, job, number) * (1 - (task.percent / fullPercent))) - unreportedMs;
	if (state.now + restMs > (worker.leavesAt ?? 0)) {
		stopTask(state, leaver, task, findRoom(state, task, []) !== undefined);
	}
}

function stopTask(state: SchedulerState, {worker}: Leaver, task: Task, hasRoom: boolean): void {
	noteDecision(state, 'task-evacuated', {
		task: task.name, run: task.run, workerId: worker.id, leavesInMs: Math.round((worker.leavesAt ?? state.now) - state.now), hasRoom,
	});
	requestStop(state, task);
}
