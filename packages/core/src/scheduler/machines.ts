/** The machines behind the workers, and the orders to them: one order at a time, repeated until its outcome is known. */
import {addEffect, noteDecision, noteWarning} from './logging.js';
import {unconfirmedLimitMs, unconfirmedOrderMs, workerLeaseMs} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {
	MachineEntry, MachineId, PoolName, SteadyMs, WaveNumber,
} from './types.js';
import type {
	Machine, MachineOrder, SchedulerSettings, SchedulerState, Worker,
} from './state.js';

type OrderEnded = Extract<SchedulerEvent, {type: 'order/ended'}>;
type MachinesListed = Extract<SchedulerEvent, {type: 'machines/listed'}>;

const listPauseMs = 4000;
/** The list is read more often while machines are on their way. */
const listPauseInOrderMs = 500;
const listRetryMs = 500;
/** A list that took longer is told of. */
const slowListMs = 500;
const orderRetryMs = 300;
const busyPauseMs = 1500;
/** An order whose workers are not found empty by then is dropped. */
const reserveMs = 2000;
/** A machine is back this much later than announced at the most. */
const returnSlackMs = 300;

/** Reads the list of machines when it is due. */
export function tickMachineList(state: SchedulerState): void {
	if (state.leadership.role !== 'leader' || state.isListingMachines || state.now < state.machinesDueAt) {
		return;
	}

	state.isListingMachines = true;
	addEffect(state, {type: 'machines/list'});
}

/** Takes the list of machines over. It tells how things stood when it was asked for, not when it came. */
export function handleMachineList(state: SchedulerState, event: MachinesListed): void {
	const {leadership} = state;
	if (leadership.role !== 'leader' || event.askedAt < leadership.leadsSince) {
		return;
	}

	state.isListingMachines = false;
	const {listing, askedAt} = event;
	if (listing.type !== 'listed') {
		state.machinesDueAt = state.now + listRetryMs;
		noteWarning(state, 'machines-not-listed', {
			ageMs: Math.round(state.now - state.machinesAskedAt), reason: listing.reason, unreadableRows: listing.unreadableRows,
		});
		return;
	}

	state.machinesFormerlyAskedAt = state.machinesAskedAt;
	state.machinesAskedAt = askedAt;
	const listed = new Set(listing.machines.map(({id}) => id));
	const formerly = new Set([...state.machines.values()].filter(({absentSince}) => absentSince === undefined).map(({entry}) => entry.id));
	const isChanged = listed.size !== formerly.size || [...listed].some(id => !formerly.has(id));
	for (const entry of listing.machines) {
		updateMachine(state, entry, askedAt);
	}

	for (const machine of state.machines.values()) {
		if (!listed.has(machine.entry.id)) {
			noteAbsence(state, machine, askedAt);
		}
	}

	if (isChanged || event.tookMs > slowListMs) {
		noteDecision(state, 'machines-listed', {
			machines: listed.size, pages: listing.pages, askedAgoMs: Math.round(state.now - askedAt), tookMs: Math.round(event.tookMs),
		});
	}

	state.machinesDueAt = state.now + ([...state.machines.values()].some(machine => isUnsettled(machine)) ? listPauseInOrderMs : listPauseMs);
}

/** On its way, or possibly gone: the next list is wanted soon. */
function isUnsettled({order, entry, absentSince}: Machine): boolean {
	return order !== undefined || entry.state === 'upkeep' || entry.state === 'moving' || absentSince !== undefined;
}

/** True if two lists in a row, asked for in this lead and after some instant, lack a machine: the latest one and the one before it. */
export function isGone(state: SchedulerState, id: MachineId, since: SteadyMs): boolean {
	return !state.machines.has(id) && state.machinesFormerlyAskedAt >= Math.max(since, state.leadership.leadsSince);
}

/** Asks for the next list soon, as when a machine is on its way. */
export function requestList(state: SchedulerState): void {
	state.machinesDueAt = Math.min(state.machinesDueAt, state.machinesAskedAt + listPauseInOrderMs);
}

/** A machine is gone once two lists in a row lack it, the second of them asked for when it should be back from its order. */
function noteAbsence(state: SchedulerState, machine: Machine, askedAt: SteadyMs): void {
	if (!isToldOf(machine, askedAt)) {
		return;
	}

	const {entry: {id}, order} = machine;
	if (machine.absentSince === undefined) {
		machine.absentSince = askedAt;
		noteWarning(state, 'machine-absent', {machineId: id, order: order?.type ?? 'none'});
	} else if (askedAt >= getReturnAt(state, machine)) {
		state.machines.delete(id);
		noteDecision(state, 'machine-gone', {machineId: id, order: order?.type ?? 'none', absentMs: Math.round(state.now - machine.absentSince)});
	}
}

function updateMachine(state: SchedulerState, entry: MachineEntry, askedAt: SteadyMs): void {
	const machine = state.machines.get(entry.id);
	if (!machine) {
		state.machines.set(entry.id, {
			entry, order: undefined, absentSince: undefined, orderEndedAt: 0, drainsFor: undefined, notBefore: getFirstOrderAt(state, entry.id),
		});
		return;
	}

	if (!isToldOf(machine, askedAt)) {
		return;
	}

	machine.entry = entry;
	machine.absentSince = undefined;
	if (entry.state === 'up' && entry.workerId !== undefined) {
		// The order was carried out before this process came: it lives.
		state.endedWorkers.delete(entry.workerId);
	}

	if (machine.order?.confirmedAt !== undefined && entry.state === 'up' && askedAt >= getReturnAt(state, machine)) {
		machine.order = undefined;
	}
}

/** True if a list that was asked for at some instant tells of a machine as its last order left it. */
function isToldOf({order, orderEndedAt}: Machine, askedAt: SteadyMs): boolean {
	return (order === undefined || order.isReserving || order.confirmedAt !== undefined) && askedAt > orderEndedAt;
}

/** When a machine may be back from its order; the order is in force until a list asked for later shows the machine up. */
function getReturnAt({settings}: SchedulerState, {order, orderEndedAt}: Machine): SteadyMs {
	return orderEndedAt + (order === undefined ? 0 : getDownMs(settings, order));
}

function getDownMs({moveMs, upkeepMs}: SchedulerSettings, order: MachineOrder): number {
	return order.type === 'move' ? moveMs : upkeepMs;
}

/** The worker of a machine, if one is known. */
export function findWorker(state: SchedulerState, machine: Machine): Worker | undefined {
	const byId = machine.entry.workerId === undefined ? undefined : state.workers.get(machine.entry.workerId);
	return byId ?? findWorkerOfMachine(state, machine.entry.id);
}

/** All workers that may be at work on a machine: its entry or theirs may be out of date. */
function listWorkers(state: SchedulerState, {entry}: Machine): Worker[] {
	return [...state.workers.values()].filter(worker => worker.id === entry.workerId || (worker.machineId === entry.id && (worker.isListed || worker.tasks.size > 0)));
}

/** True if no worker of a machine is known; one that only its entry names may still run what an earlier leader started. */
export function hasNoWorker(state: SchedulerState, machine: Machine): boolean {
	return findWorker(state, machine) === undefined
		&& (machine.entry.workerId === undefined || state.now > state.leadership.leadsSince + unconfirmedLimitMs + workerLeaseMs);
}

function findWorkerOfMachine(state: SchedulerState, id: MachineId): Worker | undefined {
	for (const worker of state.workers.values()) {
		if (worker.machineId === id && worker.isListed) {
			return worker;
		}
	}

	return undefined;
}

/** True while this leader may order machines. */
export function canOrder(state: SchedulerState): boolean {
	const {leadership} = state;
	return leadership.role === 'leader' && !state.isStopping && state.now - leadership.confirmedAt < unconfirmedOrderMs
		&& state.machinesAskedAt >= leadership.leadsSince;
}

/** Two leaders do not order one machine within the order lease. */
function getFirstOrderAt(state: SchedulerState, id: MachineId): number {
	return state.storedOrders.has(id) ? state.leadership.leadsSince + state.settings.orderLeaseMs + returnSlackMs : 0;
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
	if (isWorking(worker) || !order.lookedAt.has(worker.id)) {
		return false;
	}

	const isSilent = worker.misses > 0 || !worker.isListed;
	return worker.isFenced || (isSilent && state.now > worker.leaseEndsAt);
}

/** True if something runs at a worker, or its ends are not all stored and acknowledged. */
export function isWorking({tasks, strangers, readEnd, ackedEnd}: Worker): boolean {
	return tasks.size > 0 || strangers.size > 0 || readEnd !== ackedEnd;
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
export function handleOrder(state: SchedulerState, event: OrderEnded): void {
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
