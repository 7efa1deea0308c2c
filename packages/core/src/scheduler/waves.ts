/** Maintenance waves: machines are drained and put into upkeep, never more at once than allowed. */
import {canOrder, canTakeOrder, orderUpkeep} from './machine-orders.js';
import {findWorker, hasNoWorker, isBusy} from './machine-workers.js';
import {isGone, requestList} from './machines.js';
import {getDemand} from './demand.js';
import {canDisplace, hasRoom, requestReplacement} from './displacement.js';
import {addEffect, noteDecision} from './logging.js';
import {getPoolOfJob} from './queues.js';
import {requestStop} from './tasks.js';
import type {SchedulerEvent} from './events.js';
import type {
	Machine, SchedulerState, Task, Wave,
} from './state.js';

type WavePublished = Extract<SchedulerEvent, {type: 'wave/published'}>;
type WaveReported = Extract<SchedulerEvent, {type: 'wave/reported'}>;

const reportRetryMs = 500;
/** Machines drained in advance, beyond those that may go down now. */
const drainAhead = 1;
const millisecondsPerSecond = 1000;
/** For this long before the deadline of a wave, long-running tasks no longer wait for free capacity elsewhere. */
const forcedDrainMs = 7000;
/** Approximate time that draining a machine and its return add to the upkeep itself. */
const drainOverheadMs = 1500;
/** Most absent machines named in a log line. */
const maxLoggedMachines = 10;

/** Adds a published wave. */
export function addWave(state: SchedulerState, event: WavePublished): void {
	const {definition} = event;
	if (state.waves.has(definition.wave)) {
		return;
	}

	const wave: Wave = {
		definition, doneMachines: new Set(), readAt: state.now, isCompleted: event.isCompleted, completionCommit: undefined, reported: event.isCompleted ? 'completed' : 'none', reportDueAt: 0,
	};
	restoreWave(state, wave);
	state.waves.set(definition.wave, wave);
	noteDecision(state, 'wave-read', {
		wave: definition.wave, machines: definition.machineIds.length, maxDown: definition.maxDown, deadlineS: definition.deadlineS,
	});
}

/** Restores the progress of a wave that an earlier leader stored; a wave that is already completed is only reported. */
export function restoreWave({storedWaves, leadership}: SchedulerState, wave: Wave): void {
	const stored = storedWaves.get(wave.definition.wave);
	for (const machineId of stored?.doneMachines ?? []) {
		wave.doneMachines.add(machineId);
	}

	if (stored?.isCompleted) {
		wave.isCompleted = true;
		// An earlier leader stored the completion; any commit before the next one counts as stored in isStored().
		wave.completionCommit = {token: leadership.token, commitNumber: leadership.nextCommitNumber - 1};
	}
}

/** Advances and reports all waves. */
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

/** Writes the completion of a wave to the ledger with the next append, once per leadership term. */
function storeCompletion(state: SchedulerState, wave: Wave): void {
	const {token, nextCommitNumber} = state.leadership;
	if (wave.isCompleted && wave.completionCommit?.token !== token) {
		wave.completionCommit = {token, commitNumber: nextCommitNumber};
		state.areWavesDirty = true;
	}
}

/** True if the completion of a wave is stored: commits are stored in order, so one that was sent and is no longer in flight is stored. */
function isStored({leadership}: SchedulerState, {completionCommit}: Wave): boolean {
	return completionCommit?.token === leadership.token
		&& completionCommit.commitNumber < leadership.nextCommitNumber && completionCommit.commitNumber !== leadership.commit?.number;
}

function reportWave(state: SchedulerState, wave: Wave): void {
	const isCompleted = isStored(state, wave);
	const wanted = isCompleted ? 'completed' : 'running';
	if (wave.reported !== wanted && state.now >= wave.reportDueAt) {
		wave.reportDueAt = state.now + reportRetryMs;
		addEffect(state, {type: 'wave/report', wave: wave.definition.wave, isCompleted});
	}
}

/** Handles the answer to a wave report. */
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
	const known = openIds.map(id => state.machines.get(id)).filter(machine => machine !== undefined);
	// The platform refuses orders for a machine whose worker leaves.
	const open = known.filter(machine => !findWorker(state, machine)?.isDraining);
	const down = present.filter(id => isDown(state, state.machines.get(id))).length;
	if (openIds.length === 0 && down === 0) {
		endWave(state, wave);
		return;
	}

	if (present.some(id => !state.machines.has(id))) {
		requestList(state);
	}

	const isDeadlineNear = state.now > wave.readAt + (definition.deadlineS * millisecondsPerSecond) - forcedDrainMs;
	let remainingDown = Math.min(definition.maxDown, computeMaxDown(state, wave, openIds.length)) - down;
	let draining = open.filter(machine => machine.drainingForWave === definition.wave).length;
	for (const machine of sortByLoad(state, open)) {
		if (!canTakeOrder(state, machine)) {
			continue;
		}

		if (machine.drainingForWave === undefined && draining < Math.max(0, remainingDown) + drainAhead) {
			machine.drainingForWave = definition.wave;
			draining++;
		}

		if (machine.drainingForWave === definition.wave && drainMachine(state, machine, isDeadlineNear) && remainingDown > 0) {
			orderUpkeep(state, machine, definition.wave);
			remainingDown--;
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
		absentMachines: absent.slice(0, maxLoggedMachines).join(' '),
		listAgeMs: Math.round(state.now - state.machineListRequestedAt),
	});
}

/**
 * How many machines of a wave may be down now: as many as the wave allows, or, while some pool lacks machines, only as many
 * as are needed to meet the deadline of the wave, because upkeep takes machines from the pools.
 */
export function computeMaxDown(state: SchedulerState, {definition, readAt}: Wave, open: number): number {
	const isAnyMissing = [...state.demand.values()].some(({missing}) => missing > 0);
	if (!isAnyMissing) {
		return definition.maxDown;
	}

	const leftMs = readAt + (definition.deadlineS * millisecondsPerSecond) - forcedDrainMs - state.now;
	return leftMs > 0 ? Math.ceil(open * (state.settings.upkeepMs + drainOverheadMs) / leftMs) : definition.maxDown;
}

/**
 * True if a machine is or may be down for upkeep. It may be if it is not listed. Also counted as down: a machine that may get
 * no order yet, because an earlier leader may have ordered it or its last order was dropped less than 1.5 s ago.
 */
export function isDown(state: SchedulerState, machine: Machine | undefined): boolean {
	return machine === undefined || machine.order?.type === 'upkeep' || machine.entry.state === 'upkeep'
		|| machine.absentSince !== undefined || machine.notBefore > state.now;
}

/**
 * Sort keys for the machines of a wave, added to their processor use in thousandths of a core: machines being drained come
 * first, then those of pools that lack no machines, then those with few long-running tasks.
 */
const notDrainingPenalty = 1e9;
const shortPoolPenalty = 1e8;
const penaltyPerLongRunningTask = 100_000;

function sortByLoad(state: SchedulerState, machines: readonly Machine[]): Machine[] {
	const getLoad = (machine: Machine) => {
		const worker = findWorker(state, machine);
		const longRunning = worker?.longRunningTasks ?? 0;
		const isPoolShort = getDemand(state, machine.entry.pool).missing > 0;
		return (machine.drainingForWave === undefined ? notDrainingPenalty : 0) + (isPoolShort ? shortPoolPenalty : 0) + (longRunning * penaltyPerLongRunningTask) + (worker?.used.cpu ?? 0);
	};

	return machines.toSorted((a, b) => getLoad(a) - getLoad(b));
}

/** Keeps new tasks away from a machine and stops its long-running ones; returns true once the machine is empty. */
function drainMachine(state: SchedulerState, machine: Machine, isDeadlineNear: boolean): boolean {
	const worker = findWorker(state, machine);
	if (!worker) {
		return hasNoWorker(state, machine);
	}

	worker.isReserved = true;
	for (const task of worker.tasks.values()) {
		if (task.step.definition.isLongRunning && task.status === 'running' && canMoveTask(state, task, isDeadlineNear) && canDisplace(state, task)) {
			noteDecision(state, 'task-displaced', {task: task.name, workerId: worker.id, machineId: machine.entry.id});
			requestStop(state, task);
		}
	}

	return !isBusy(worker);
}

/**
 * True if a task has free capacity elsewhere, or if there is no time left to wait for it. Without capacity a replacement machine
 * is requested for the pool, even if the task must stay for now: it may have to stay because another task of its step waits for
 * that capacity.
 */
function canMoveTask(state: SchedulerState, task: Task, isDeadlineNear: boolean): boolean {
	const hasCapacity = hasRoom(state, task);
	if (!hasCapacity) {
		requestReplacement(state, getPoolOfJob(state, task.step.occurrence.job));
	}

	return isDeadlineNear || hasCapacity;
}
