/** Maintenance waves: machines are emptied and sent into their upkeep, never more at once than allowed. */
import {canOrder, isFree, orderUpkeep} from './machine-orders.js';
import {findWorker, hasNoWorker, isBusy} from './machine-workers.js';
import {isGone, requestList} from './machines.js';
import {getDemand} from './demand.js';
import {addEffect, noteDecision} from './logging.js';
import {isUsable} from './placement.js';
import {getPoolOfJob} from './queues.js';
import {doesFit} from './resources.js';
import {getFree, getStepNeed, requestStop} from './tasks.js';
import type {SchedulerEvent} from './events.js';
import type {
	Machine, SchedulerState, StepRun, Task, Wave, Worker,
} from './state.js';

type WavePublished = Extract<SchedulerEvent, {type: 'wave/published'}>;
type WaveReported = Extract<SchedulerEvent, {type: 'wave/reported'}>;

const reportRetryMs = 500;
/** Machines that are emptied ahead of those that are down. */
const drainAhead = 1;
const fullPercent = 100;
const millisecondsPerSecond = 1000;
/** In the last part of a wave long-running tasks no longer wait for room elsewhere. */
const lastCallMs = 7000;
/** Emptying a machine, and its return, take about this long beside the upkeep itself. */
const emptyingMs = 1500;
/** Absent machines that a log line names. */
const namedMost = 10;
/** How long the wish for a replacement holds without being renewed. */
const replacementMs = 1000;

/** Takes a wave in. */
export function addWave(state: SchedulerState, event: WavePublished): void {
	const {definition} = event;
	if (state.waves.has(definition.wave)) {
		return;
	}

	const wave: Wave = {
		definition, doneMachines: new Set(), readAt: state.now, isCompleted: event.isCompleted, storedBy: undefined, reported: event.isCompleted ? 'completed' : 'none', reportDueAt: 0,
	};
	restoreWave(state, wave);
	state.waves.set(definition.wave, wave);
	noteDecision(state, 'wave-read', {
		wave: definition.wave, machines: definition.machineIds.length, maxDown: definition.maxDown, deadlineS: definition.deadlineS,
	});
}

/** Takes over what an earlier leader has stored of a wave; one that it completed is only reported. */
export function restoreWave({storedWaves, leadership}: SchedulerState, wave: Wave): void {
	const stored = storedWaves.get(wave.definition.wave);
	for (const machineId of stored?.doneMachines ?? []) {
		wave.doneMachines.add(machineId);
	}

	if (stored?.isCompleted) {
		wave.isCompleted = true;
		wave.storedBy = {token: leadership.token, sequence: leadership.nextSequence - 1};
	}
}

/** Goes on with all waves. */
export function tickWaves(state: SchedulerState): void {
	if (state.leadership.role !== 'leader') {
		return;
	}

	for (const wave of state.waves.values()) {
		if (!wave.isCompleted) {
			advanceWave(state, wave);
		}

		if (wave.reported !== 'completed') {
			storeCompletion(state, wave);
			reportWave(state, wave);
		}
	}
}

/** The completion of a wave goes to the ledger with the next append, once in each lead. */
function storeCompletion(state: SchedulerState, wave: Wave): void {
	const {token, nextSequence} = state.leadership;
	if (wave.isCompleted && wave.storedBy?.token !== token) {
		wave.storedBy = {token, sequence: nextSequence};
		state.areWavesDirty = true;
	}
}

/** Appends are stored one after the other: one that was sent and is not on its way any more is stored. */
function isStored({leadership}: SchedulerState, {storedBy}: Wave): boolean {
	return storedBy?.token === leadership.token
		&& storedBy.sequence < leadership.nextSequence && storedBy.sequence !== leadership.commit?.sequence;
}

function reportWave(state: SchedulerState, wave: Wave): void {
	const isCompleted = isStored(state, wave);
	const wanted = isCompleted ? 'completed' : 'running';
	if (wave.reported !== wanted && state.now >= wave.reportDueAt) {
		wave.reportDueAt = state.now + reportRetryMs;
		addEffect(state, {type: 'wave/report', wave: wave.definition.wave, isCompleted});
	}
}

/** Handles the outcome of a report. */
export function handleWaveReport(state: SchedulerState, event: WaveReported): void {
	const wave = state.waves.get(event.wave);
	if (wave && event.isStored) {
		wave.reported = event.isCompleted ? 'completed' : 'running';
	}
}

function advanceWave(state: SchedulerState, wave: Wave): void {
	if (!canOrder(state)) {
		return;
	}

	const {definition} = wave;
	const present = definition.machineIds.filter(id => !isGone(state, id, wave.readAt));
	const openIds = present.filter(id => !wave.doneMachines.has(id));
	const open = openIds.map(id => state.machines.get(id)).filter(machine => machine !== undefined);
	const down = present.filter(id => isDown(state, state.machines.get(id))).length;
	if (openIds.length === 0 && down === 0) {
		endWave(state, wave);
		return;
	}

	if (present.some(id => !state.machines.has(id))) {
		requestList(state);
	}

	const isDue = state.now > wave.readAt + (definition.deadlineS * millisecondsPerSecond) - lastCallMs;
	let room = Math.min(definition.maxDown, computePace(state, wave, openIds.length)) - down;
	let draining = open.filter(machine => machine.drainsFor === definition.wave).length;
	for (const machine of sortByLoad(state, open)) {
		if (!isFree(state, machine)) {
			continue;
		}

		if (machine.drainsFor === undefined && draining < Math.max(0, room) + drainAhead) {
			machine.drainsFor = definition.wave;
			draining++;
		}

		if (machine.drainsFor === definition.wave && drainMachine(state, machine, isDue) && room > 0) {
			orderUpkeep(state, machine, definition.wave);
			room--;
		}
	}
}

function endWave(state: SchedulerState, wave: Wave): void {
	const {definition, doneMachines} = wave;
	const absent = definition.machineIds.filter(id => !doneMachines.has(id));
	wave.isCompleted = true;
	noteDecision(state, 'wave-completed', {
		wave: definition.wave,
		tookMs: Math.round(state.now - wave.readAt),
		done: definition.machineIds.length - absent.length,
		absent: absent.length,
		absentMachines: absent.slice(0, namedMost).join(' '),
		listAgeMs: Math.round(state.now - state.machinesAskedAt),
	});
}

/**
 * How many machines of a wave may be down now. Upkeep takes machines from pools, so that while a pool lacks some
 * only as many are down as the wave needs to be in time; else as many as it allows.
 */
export function computePace(state: SchedulerState, {definition, readAt}: Wave, open: number): number {
	const isAnyMissing = [...state.demand.values()].some(({missing}) => missing > 0);
	if (!isAnyMissing) {
		return definition.maxDown;
	}

	const leftMs = readAt + (definition.deadlineS * millisecondsPerSecond) - lastCallMs - state.now;
	return leftMs > 0 ? Math.ceil(open * (state.settings.upkeepMs + emptyingMs) / leftMs) : definition.maxDown;
}

/** Down for its upkeep, or possibly: it is not listed, or an earlier leader may have sent it there just before this one took the lead. */
export function isDown(state: SchedulerState, machine: Machine | undefined): boolean {
	return machine === undefined || machine.order?.type === 'upkeep' || machine.entry.state === 'upkeep'
		|| machine.absentSince !== undefined || machine.notBefore > state.now;
}

/** Order of machines in a wave, in thousandths of a core: those under way, then those of pools that lack none, then those with few long-running tasks. */
const drainedFirst = 1e9;
const missedLast = 1e8;
const perLastingTask = 100_000;

function sortByLoad(state: SchedulerState, machines: readonly Machine[]): Machine[] {
	const getLoad = (machine: Machine) => {
		const worker = findWorker(state, machine);
		const lasting = worker?.lastingTasks ?? 0;
		const isMissed = getDemand(state, machine.entry.pool).missing > 0;
		return (machine.drainsFor === undefined ? drainedFirst : 0) + (isMissed ? missedLast : 0) + (lasting * perLastingTask) + (worker?.used.cpu ?? 0);
	};

	return machines.toSorted((a, b) => getLoad(a) - getLoad(b));
}

/** Keeps new work away and ends what lasts; true once the machine is empty. */
function drainMachine(state: SchedulerState, machine: Machine, isDue: boolean): boolean {
	const worker = findWorker(state, machine);
	if (!worker) {
		return hasNoWorker(state, machine);
	}

	worker.isReserved = true;
	for (const task of worker.tasks.values()) {
		if (task.step.definition.isLongRunning && task.status === 'running' && hasPlaceToGo(state, task, isDue) && canDisplace(state, task)) {
			noteDecision(state, 'task-displaced', {task: task.name, workerId: worker.id, machineId: machine.entry.id});
			requestStop(state, task);
		}
	}

	return !isBusy(worker);
}

/** True if stopping a long-running task leaves enough of its step at work. */
export function canDisplace(state: SchedulerState, task: Task): boolean {
	const {step} = task;
	const away = step.tasks.filter(other => other !== task && !isAtWork(state, other)).length;
	return step.definition.maxUnavailable === 0 || away < step.definition.maxUnavailable;
}

/**
 * True if there is room for a task elsewhere, or no time left to wait for it. Without room the pool is to get a machine, also
 * while the task must stay: it may have to because another of its step waits for that room.
 */
function hasPlaceToGo(state: SchedulerState, task: Task, isDue: boolean): boolean {
	const hasRoom = hasRoomElsewhere(state, task.step, task.worker);
	if (!hasRoom) {
		getDemand(state, getPoolOfJob(state, task.step.occurrence.job)).replacementUntil = state.now + replacementMs;
	}

	return isDue || hasRoom;
}

/** A long-running task counts as away for a while after it is back. */
const atWorkSinceMs = 700;

function isAtWork(state: SchedulerState, task: Task): boolean {
	return task.status === 'running' && task.percent >= fullPercent && state.now - task.startedAt > atWorkSinceMs
		&& task.worker?.misses === 0;
}

function hasRoomElsewhere(state: SchedulerState, step: StepRun, current: Worker | undefined): boolean {
	const {maxPerWorker} = step.definition;
	const need = getStepNeed(step.definition);
	for (const worker of state.workers.values()) {
		if (worker === current || worker.pool !== current?.pool || !isUsable(state, worker)) {
			continue;
		}

		const ofStep = step.tasks.filter(task => task.worker === worker).length;
		if (doesFit(need, getFree(worker)) && (maxPerWorker === 0 || ofStep < maxPerWorker)) {
			return true;
		}
	}

	return false;
}
