/** Orders to the platform to move a machine or to start its upkeep: one at a time per machine, repeated until the outcome is known. */
import {isConfirmedWithin} from './confirmation.js';
import {getLeaseEnd} from './incarnations.js';
import {hasLateCalls} from './late-calls.js';
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
const failedOrderPauseMs = 1500;
/** An order is dropped if its machine's workers are not confirmed empty within this time. */
const reservationTimeoutMs = 2000;

/** True while this leader may order machines. */
export function canOrder(state: SchedulerState): boolean {
	const {leadership} = state;
	return leadership.role === 'leader' && !state.isStopping && isConfirmedWithin(state, unconfirmedOrderMs)
		&& state.machineListRequestedAt >= leadership.leaderSince;
}

/** Orders the move of a machine, whose worker has no tasks, to another pool. */
export function orderMove(state: SchedulerState, machine: Machine, pool: PoolName): void {
	noteDecision(state, 'machine-move', {machineId: machine.entry.id, from: machine.entry.pool, to: pool});
	reserveMachine(state, machine, {type: 'move', pool, wave: 0});
}

/** Orders the upkeep of a machine whose worker has no tasks. */
export function orderUpkeep(state: SchedulerState, machine: Machine, wave: WaveNumber): void {
	noteDecision(state, 'upkeep-ordered', {machineId: machine.entry.id, wave});
	reserveMachine(state, machine, {type: 'upkeep', pool: machine.entry.pool, wave});
}

/** Begins an order: the machine's workers get no new tasks from now on, and a poll of each must confirm that it is empty. */
function reserveMachine(state: SchedulerState, machine: Machine, order: Pick<MachineOrder, 'type' | 'pool' | 'wave'>): void {
	machine.order = {
		...order, number: state.nextOrderNumber++, isReserving: true, reservedUntil: state.now + reservationTimeoutMs, polledWorkers: new Set(), isInFlight: false, retryAt: state.now, confirmedAt: undefined,
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
		requestPoll(order, worker);
	}

	const isEmpty = workers.length === 0 ? hasNoWorker(state, machine) : workers.every(worker => isConfirmedEmpty(state, order, worker));
	if (isEmpty) {
		order.isReserving = false;
		storeOrder(state, machine);
	}
}

/** Requires a worker's state to be confirmed by a poll that is sent from now on. */
function requestPoll(order: MachineOrder, worker: Worker): void {
	if (!worker.isPollPending && !order.polledWorkers.has(worker.id)) {
		order.polledWorkers.add(worker.id);
		worker.isPolledByLeader = false;
	}
}

/** True if nothing runs on a worker: a poll since the reservation confirms it, or the worker does not answer and its lease has expired. */
function isConfirmedEmpty(state: SchedulerState, order: MachineOrder, worker: Worker): boolean {
	if (isBusy(worker) || !order.polledWorkers.has(worker.id)) {
		return false;
	}

	const isSilent = worker.failedPolls > 0 || !worker.isListed;
	return worker.isPolledByLeader || (isSilent && state.now > getLeaseEnd(worker));
}

/**
 * Drops an order and logs it. The causes: the workers were not confirmed empty in time, the machine was no longer up or listed
 * while it was reserved, or a worker had been given tasks by the time the order was to be sent.
 */
function cancelOrder(state: SchedulerState, machine: Machine): void {
	const tasks = listWorkers(state, machine).reduce((sum, worker) => sum + worker.tasks.size, 0);
	noteDecision(state, 'machine-order-dropped', {machineId: machine.entry.id, order: machine.order?.type, tasks});
	dropOrder(state, machine);
}

/** Queues the order to be stored, and sent after that: the next leader must know of an order before the platform receives it. */
function storeOrder(state: SchedulerState, machine: Machine): void {
	state.ownOrders.set(machine.entry.id, state.now);
	state.areOrdersDirty = true;
	if (machine.order) {
		// Set already while the order waits to be stored, so that tickOrders does not send it earlier.
		machine.order.isInFlight = true;
	}

	state.pendingActions.push({type: 'order', machine});
}

/** Machines with open or recent orders, to which the next leader must not send orders at once. */
export function listRecentOrders(state: SchedulerState): MachineId[] {
	return [...state.ownOrders.keys()];
}

/** Forgets orders that are closed and old, so that the next leader need not wait before it orders these machines. */
function dropOldOrders(state: SchedulerState): void {
	for (const [id, at] of state.ownOrders) {
		const order = state.machines.get(id)?.order;
		const isOpen = order !== undefined && order.confirmedAt === undefined;
		if (!isOpen && state.now - at > state.settings.orderLeaseMs + returnSlackMs) {
			state.ownOrders.delete(id);
			state.areOrdersDirty = true;
		}
	}
}

/** Sends an order that is stored. If this host may not order machines now, the order waits until it may. */
export function sendStoredOrder(state: SchedulerState, machine: Machine): void {
	if (canOrder(state)) {
		sendOrder(state, machine);
	} else if (machine.order) {
		noteDecision(state, 'machine-order-deferred', {machineId: machine.entry.id, order: machine.order.type});
		machine.order.isInFlight = false;
	}
}

/** Sends an order to the platform. */
function sendOrder(state: SchedulerState, machine: Machine): void {
	const {order} = machine;
	if (!order || order.isReserving) {
		return;
	}

	if (listWorkers(state, machine).some(({tasks}) => tasks.size > 0)) {
		// A new worker process on the machine has been given tasks in the meantime.
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

/** True if a machine was up in the latest list and may be given an order. */
export function canTakeOrder(state: SchedulerState, {order, entry, absentSince, notBefore}: Machine): boolean {
	return order === undefined && entry.state === 'up' && absentSince === undefined && notBefore <= state.now;
}

/** Repeats orders whose outcome is not known. */
export function tickOrders(state: SchedulerState): void {
	if (!canOrder(state)) {
		return;
	}

	dropOldOrders(state);
	for (const machine of state.machines.values()) {
		const {order} = machine;
		if (order?.isReserving) {
			advanceReservation(state, machine, order);
		} else if (order && order.confirmedAt === undefined) {
			retryOrder(state, machine, order);
		}
	}
}

/**
 * Repeats an order whose outcome is unknown. Until then new workers on the machine get no tasks either, as the order may still
 * be carried out.
 */
function retryOrder(state: SchedulerState, machine: Machine, order: MachineOrder): void {
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
		// The answer belongs to an earlier order, or the machine is no longer known.
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
	machine.drainingForWave = undefined;
	machine.entry = {
		...machine.entry, pool: order.pool, state: order.type === 'move' ? 'moving' : 'upkeep', workerId: undefined,
	};
}

/** Releases the machine's workers. The processes that the order was decided for have ended; any others started after the machine returned. Those that calls may still reach stay known: a process under the same id may carry them out. */
function releaseWorkers(state: SchedulerState, machine: Machine, order: MachineOrder): void {
	for (const worker of listWorkers(state, machine)) {
		worker.isReserved = false;
		if (order.polledWorkers.has(worker.id)) {
			worker.isListed = false;
			worker.leaseExpiresAt = 0;
			if (!hasLateCalls(state, worker)) {
				state.workers.delete(worker.id);
			}

			state.endedWorkers.set(worker.id, worker.bornAt);
		}
	}
}

/** Ends an order that was cancelled or not confirmed: its workers may get tasks again, and the machine gets no other order for a while. */
function dropOrder(state: SchedulerState, machine: Machine): void {
	for (const worker of listWorkers(state, machine)) {
		worker.isReserved = false;
	}

	machine.order = undefined;
	machine.orderEndedAt = state.now;
	machine.notBefore = state.now + failedOrderPauseMs;
	state.machinesDueAt = state.now;
}
