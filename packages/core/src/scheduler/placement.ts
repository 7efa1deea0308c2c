/** Chooses workers for tasks that may start: most urgent step first, each task where it leaves the least room unused. */
import {isSuspect} from './health.js';
import {clearWaiting, getDemand, noteWaiting} from './demand.js';
import {getPoolOfJob} from './queues.js';
import {addResources, doesFit} from './resources.js';
import {
	getFree, getNeed, getStepNeed, placeTask,
} from './tasks.js';
import {compareUrgency, computeUrgency, type Urgency} from './urgency.js';
import {getTicketState, requestAdvice} from './advice.js';
import type {PoolName, Resources} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** Tasks that a worker under suspicion is given at once. */
const suspectTaskLimit = 2;
/** A step waits for the rack of its data up to this share of what it would lose elsewhere. */
const rackPatience = 0.5;

/** Places all tasks that fit. While an append is on its way nothing could be sent, so that the choice waits for what comes meanwhile. */
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
	for (const {step} of sortSteps(state)) {
		const pool = getPoolOfJob(state, step.occurrence.job);
		placeStep(state, step, workersByPool.get(pool) ?? [], pool);
	}
}

/** True if a worker may be given new tasks. */
export function isUsable(state: SchedulerState, worker: Worker): boolean {
	return worker.isListed && worker.isFenced && !worker.isDraining && !worker.isReserved
		&& worker.unknownRuns.size === 0 && worker.missedPolls === 0 && worker.quarantinedUntil <= state.now;
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
	const waiting = step.tasks.filter(task => task.status === 'waiting');
	const candidates = workers.filter(worker => hasLabel(step, worker));
	const placed = step.definition.isGang
		? placeGang(state, step, waiting, candidates)
		: placeEach(state, step, waiting, candidates);
	const left = waiting.length - placed;
	if (left > 0) {
		noteWaiting(getDemand(state, pool), step, left);
	}
}

function hasLabel(step: StepRun, worker: Worker): boolean {
	const {requiredLabel} = step.definition;
	return requiredLabel === '' || worker.labels.has(requiredLabel);
}

function placeEach(state: SchedulerState, step: StepRun, waiting: readonly Task[], candidates: readonly Worker[]): number {
	const rooms = listRooms(step, candidates);
	let placed = 0;
	for (const task of waiting) {
		const worker = chooseWorker(state, task, rooms);
		if (!worker) {
			break;
		}

		takeRoom(rooms, worker, task);
		placeTask(state, task, worker, task.run + 1);
		placed++;
	}

	return placed;
}

/** All members at once or none; they share the number of their run. */
function placeGang(state: SchedulerState, step: StepRun, waiting: readonly Task[], candidates: readonly Worker[]): number {
	if (waiting.length < step.definition.count) {
		return 0;
	}

	const rooms = listRooms(step, candidates);
	const chosen: Array<{task: Task; worker: Worker}> = [];
	for (const task of waiting) {
		const worker = chooseWorker(state, task, rooms);
		if (!worker) {
			return 0;
		}

		takeRoom(rooms, worker, task);
		chosen.push({task, worker});
	}

	const run = Math.max(...step.tasks.map(task => task.run)) + 1;
	const checkpoint = waiting.find(task => task.checkpoint !== '')?.checkpoint ?? '';
	for (const {task, worker} of chosen) {
		task.checkpoint = checkpoint;
		placeTask(state, task, worker, run);
	}

	return chosen.length;
}

type Room = {free: Resources; ofStep: number};

function takeRoom(rooms: ReadonlyMap<Worker, Room>, worker: Worker, task: Task): void {
	const room = rooms.get(worker)!;
	room.free = addResources(room.free, getNeed(task), -1);
	room.ofStep++;
}

/** Room of the workers that at least one task of the step fits. */
function listRooms(step: StepRun, workers: readonly Worker[]): Map<Worker, Room> {
	const need = getStepNeed(step.definition);
	const rooms = new Map<Worker, Room>();
	for (const worker of workers) {
		const free = getFree(worker);
		if (doesFit(need, free)) {
			rooms.set(worker, {free, ofStep: countOfStep(step, worker)});
		}
	}

	return rooms;
}

function countOfStep(step: StepRun, worker: Worker): number {
	return step.definition.maxPerWorker > 0 ? step.tasks.filter(task => task.worker === worker).length : 0;
}

function chooseWorker(state: SchedulerState, task: Task, rooms: ReadonlyMap<Worker, Room>): Worker | undefined {
	const {definition} = task.step;
	const need = getNeed(task);
	const unadvised: Worker[] = [];
	let best: Worker | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	const rack = chooseRack(state, task);
	for (const [worker, room] of rooms) {
		const isFull = definition.maxPerWorker > 0 && room.ofStep >= definition.maxPerWorker;
		const isProbed = isSuspect(worker) && worker.tasks.size >= suspectTaskLimit;
		if (isFull || isProbed || !doesFit(need, room.free) || (rack.isBinding && worker.rack !== rack.name)) {
			continue;
		}

		const ticket = getTicketState(state, task.step, worker);
		if (ticket === 'unknown') {
			unadvised.push(worker);
		}

		if (ticket !== 'good') {
			continue;
		}

		const score = scoreWorker(task, worker, room.free, rack.name);
		if (score < bestScore) {
			best = worker;
			bestScore = score;
		}
	}

	if (!best && unadvised.length > 0) {
		requestAdvice(state, task.step, unadvised);
	}

	return best;
}

/** A worker without long-running tasks can be emptied, and its machine sent where it is needed. */
const freeablePenalty = 1;
const farPenalty = 4;
const suspectPenalty = 8;
const failedPenalty = 16;

/** Lower is better: tasks fill workers one after the other, first those that long-running tasks keep; fillers go where most is unused. */
function scoreWorker(task: Task, worker: Worker, free: Resources, rack: string | undefined): number {
	const cpuShare = free.cpu / Math.max(1, worker.capacity.cpu);
	const memoryShare = free.memoryMb / Math.max(1, worker.capacity.memoryMb);
	let score = task.step.definition.isFiller ? 1 - cpuShare : (cpuShare + memoryShare) / 2;
	score += worker.longRunningTasks === 0 && !task.step.definition.isFiller ? freeablePenalty : 0;
	score += rack !== undefined && worker.rack !== rack ? farPenalty : 0;
	score += isSuspect(worker) ? suspectPenalty : 0;
	score += task.failedOn.has(worker.id) ? failedPenalty : 0;
	return score;
}

type RackChoice = {readonly name: string | undefined; readonly isBinding: boolean};

/** The rack of the step's data or of its tasks; it binds for as long as waiting costs less than working far away. */
function chooseRack(state: SchedulerState, task: Task): RackChoice {
	const {definition, tasks} = task.step;
	const used = definition.isSameRack ? tasks.find(other => other.worker !== undefined)?.worker?.rack : undefined;
	const name = used ?? definition.dataRack;
	if (name === '') {
		return {name: undefined, isBinding: false};
	}

	const lossMs = definition.estimateMs * (state.settings.remoteRackFactor - 1);
	return {name, isBinding: state.now - task.readyAt < lossMs * rackPatience};
}
