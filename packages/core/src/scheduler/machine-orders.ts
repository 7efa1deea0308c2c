/** Orders to machines: one order at a time, repeated until its outcome is known. */
import {addEffect, noteDecision} from './logging.js';
import {hasNoWorker, isBusy, listWorkers} from './machine-workers.js';
import {getReturnAt, returnSlackMs} from './machines.js';
import {unconfirmedOrderMs} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {MachineId, PoolName, WaveNumber} from './types.js';
import type {
	Machine, MachineOrder, SchedulerState, Worker,
} from './state.js';

type OrderEnded = Extract<SchedulerEvent, {type: 'order/ended'}>;

const orderRetryMs = 300;
const busyPauseMs = 1500;
/** An order whose workers are not found empty by then is dropped. */
const reserveMs = 2000;

/** True while this leader may order machines. */
export function canOrder(state: SchedulerState): boolean {
	const {leadership} = state;
	return leadership.role === 'leader' && !state.isStopping && state.now - leadership.confirmedAt < unconfirmedOrderMs
		&& state.machinesAskedAt >= leadership.leadsSince;
}

/** Sends a machine, whose worker is empty, to another pool. */
export function orderMove(state: SchedulerState, machine: Machine, pool: PoolName): void {
	noteDecision(state, 'machine-move', {machineId: machine.entry.id, from: machine.entry.pool, to: pool});
	reserveMachine(state, machine, {type: 'move', pool, wave: 0});
}

/** Sends a machine, whose worker is empty, into its upkeep. */
export function orderUpkeep(state: SchedulerState, machine: Machine, wave: WaveNumber): void {
	noteDecision(state, 'upkeep-ordered', {machineId: machine.entry.id, wave});
	reserveMachine(state, machine, {type: 'upkeep', pool: machine.entry.pool, wave});
}

/** An order begins with a look at the machine's workers, which get no work from here on. */
function reserveMachine(state: SchedulerState, machine: Machine, order: Pick<MachineOrder, 'type' | 'pool' | 'wave'>): void {
	machine.order = {
		...order, number: state.nextOrderNumber++, isReserving: true, reservedUntil: state.now + reserveMs, lookedAt: new Set(), isInFlight: false, retryAt: state.now, confirmedAt: undefined,
	};
	advanceReservation(state, machine, machine.order);
}

function advanceReservation(state: SchedulerState, machine: Machine, order: MachineOrder): void {
	const workers = listWorkers(state, machine);
	if (state.now > order.reservedUntil || machine.entry.state !== 'up' || machine.absentSince !== undefined) {
		cancelOrder(state, machine);
		return;
	}

	for (const worker of workers) {
		worker.isReserved = true;
		requestLook(order, worker);
	}

	const isEmpty = workers.length === 0 ? hasNoWorker(state, machine) : workers.every(worker => isEmptied(state, order, worker));
	if (isEmpty) {
		order.isReserving = false;
		storeOrder(state, machine);
	}
}

/** Its fence is to be confirmed by a look that is sent from now on. */
function requestLook(order: MachineOrder, worker: Worker): void {
	if (!worker.isHeld && !order.lookedAt.has(worker.id)) {
		order.lookedAt.add(worker.id);
		worker.isFenced = false;
	}
}

/** Nothing runs at a worker: a look since the reservation says so, or it does not answer and no lease is in force there. */
function isEmptied(state: SchedulerState, order: MachineOrder, worker: Worker): boolean {
	if (isBusy(worker) || !order.lookedAt.has(worker.id)) {
		return false;
	}

	const isSilent = worker.misses > 0 || !worker.isListed;
	return worker.isFenced || (isSilent && state.now > worker.leaseEndsAt);
}

/** Gives an order up: it was not sent yet, or its machine has work again. */
function cancelOrder(state: SchedulerState, machine: Machine): void {
	const tasks = listWorkers(state, machine).reduce((sum, worker) => sum + worker.tasks.size, 0);
	noteDecision(state, 'machine-order-dropped', {machineId: machine.entry.id, order: machine.order?.type, tasks});
	dropOrder(state, machine);
}

/** The next leader must know of the order before the platform does. */
function storeOrder(state: SchedulerState, machine: Machine): void {
	state.ownOrders.set(machine.entry.id, state.now);
	state.areOrdersDirty = true;
	if (machine.order) {
		machine.order.isInFlight = true;
	}

	state.pendingActions.push({type: 'order', machine});
}

/** Machines with orders that the next leader must wait for. */
export function listRecentOrders(state: SchedulerState): MachineId[] {
	for (const [id, at] of state.ownOrders) {
		const isOpen = state.machines.get(id)?.order?.confirmedAt === undefined && state.machines.get(id)?.order !== undefined;
		if (!isOpen && state.now - at > state.settings.orderLeaseMs + returnSlackMs) {
			state.ownOrders.delete(id);
		}
	}

	return [...state.ownOrders.keys()];
}

/** Sends an order to the platform. */
export function sendOrder(state: SchedulerState, machine: Machine): void {
	const {order} = machine;
	if (!order || order.isReserving) {
		return;
	}

	if (listWorkers(state, machine).some(({tasks}) => tasks.size > 0)) {
		// A new process on the machine has been given work since.
		cancelOrder(state, machine);
		return;
	}

	order.isInFlight = true;
	const {token} = state.leadership;
	const machineId = machine.entry.id;
	state.ownOrders.set(machineId, state.now);
	addEffect(state, order.type === 'move'
		? {
			type: 'machine/move', order: order.number, machineId, pool: order.pool, token,
		}
		: {
			type: 'machine/upkeep', order: order.number, machineId, wave: order.wave, token,
		});
}

/** True if a machine was up when it was last asked about, and is free to take an order. */
export function isFree(state: SchedulerState, {order, entry, absentSince, notBefore}: Machine): boolean {
	return order === undefined && entry.state === 'up' && absentSince === undefined && notBefore <= state.now;
}

/** Repeats orders whose outcome is not known. */
export function tickOrders(state: SchedulerState): void {
	if (!canOrder(state)) {
		return;
	}

	for (const machine of state.machines.values()) {
		const {order} = machine;
		if (order?.isReserving) {
			advanceReservation(state, machine, order);
		} else if (order && order.confirmedAt === undefined) {
			keepOrder(state, machine, order);
		}
	}
}

/** Until the outcome is known, workers that the machine comes back with get no work: the order may yet be carried out. */
function keepOrder(state: SchedulerState, machine: Machine, order: MachineOrder): void {
	for (const worker of listWorkers(state, machine)) {
		worker.isReserved = true;
	}

	if (!order.isInFlight && state.now >= order.retryAt) {
		sendOrder(state, machine);
	}
}

/** Handles the outcome of an order. */
export function handleOrderOutcome(state: SchedulerState, event: OrderEnded): void {
	const machine = state.machines.get(event.machineId);
	const order = machine?.order;
	if (!machine || order?.number !== event.order) {
		// It tells of an order that is not in force any more.
		noteDecision(state, 'machine-order-late', {machineId: event.machineId, outcome: event.outcome});
		return;
	}

	order.isInFlight = false;
	noteDecision(state, 'machine-order-ended', {machineId: event.machineId, order: order.type, outcome: event.outcome});
	if (event.outcome === 'done') {
		confirmOrder(state, machine);
	} else if (event.outcome === 'unknown' || event.outcome === 'limited') {
		order.retryAt = state.now + orderRetryMs;
	} else {
		dropOrder(state, machine);
	}
}

function confirmOrder(state: SchedulerState, machine: Machine): void {
	const {order} = machine;
	if (!order) {
		return;
	}

	order.confirmedAt = state.now;
	machine.orderEndedAt = state.now;
	state.machinesDueAt = Math.min(state.machinesDueAt, getReturnAt(state, machine) + returnSlackMs);
	if (order.type === 'upkeep') {
		state.waves.get(order.wave)?.doneMachines.add(machine.entry.id);
		state.areWavesDirty = true;
	}

	releaseWorkers(state, machine, order);
	machine.drainsFor = undefined;
	machine.entry = {
		...machine.entry, pool: order.pool, state: order.type === 'move' ? 'moving' : 'upkeep', workerId: undefined,
	};
}

/** The processes that the order was decided for have ended with it; others of the machine are those it came back with. */
function releaseWorkers(state: SchedulerState, machine: Machine, order: MachineOrder): void {
	for (const worker of listWorkers(state, machine)) {
		worker.isReserved = false;
		if (order.lookedAt.has(worker.id)) {
			worker.isListed = false;
			worker.leaseEndsAt = 0;
			state.workers.delete(worker.id);
			state.endedWorkers.set(worker.id, worker.bornAt);
		}
	}
}

function dropOrder(state: SchedulerState, machine: Machine): void {
	for (const worker of listWorkers(state, machine)) {
		worker.isReserved = false;
	}

	machine.order = undefined;
	machine.orderEndedAt = state.now;
	machine.notBefore = state.now + busyPauseMs;
	state.machinesDueAt = state.now;
}
