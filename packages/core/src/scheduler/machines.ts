/** The machines on which the workers run, as listed by the platform. A list is valid as of the time when it was requested. */
import {addEffect, noteDecision, noteWarning} from './logging.js';
import {listWorkers} from './machine-workers.js';
import type {SchedulerEvent} from './events.js';
import type {MachineEntry, MachineId, SteadyMs} from './types.js';
import type {
	Machine, MachineOrder, SchedulerSettings, SchedulerState,
} from './state.js';

type MachinesListed = Extract<SchedulerEvent, {type: 'machines/listed'}>;

const listIntervalMs = 4000;
/** The list is read more often while orders are in progress or a machine is absent. */
const listIntervalWhileUnsettledMs = 500;
const listRetryMs = 500;
/** A list that took longer than this is logged. */
const slowListMs = 500;
/** A machine returns from an order at most this much later than announced. */
export const returnSlackMs = 300;

/** Requests the list of machines when it is due. */
export function tickMachineList(state: SchedulerState): void {
	if (state.leadership.role !== 'leader' || state.isListingMachines || state.now < state.machinesDueAt) {
		return;
	}

	state.isListingMachines = true;
	addEffect(state, {type: 'machines/list'});
}

/** Applies a list of machines. It is valid as of the time of the request, not of the arrival. */
export function handleMachineList(state: SchedulerState, event: MachinesListed): void {
	const {leadership} = state;
	if (leadership.role !== 'leader' || event.requestedAt < leadership.leaderSince) {
		return;
	}

	state.isListingMachines = false;
	const {listing, requestedAt} = event;
	if (listing.type !== 'listed') {
		state.machinesDueAt = state.now + listRetryMs;
		noteWarning(state, 'machines-not-listed', {
			ageMs: Math.round(state.now - state.machineListRequestedAt), reason: listing.reason, unreadableRows: listing.unreadableRows,
		});
		return;
	}

	state.previousMachineListRequestedAt = state.machineListRequestedAt;
	state.machineListRequestedAt = requestedAt;
	const listed = new Set(listing.machines.map(({id}) => id));
	const previouslyListed = new Set([...state.machines.values()].filter(({absentSince}) => absentSince === undefined).map(({entry}) => entry.id));
	const isChanged = listed.size !== previouslyListed.size || [...listed].some(id => !previouslyListed.has(id));
	for (const entry of listing.machines) {
		updateMachine(state, entry, requestedAt);
	}

	for (const machine of state.machines.values()) {
		if (!listed.has(machine.entry.id)) {
			handleAbsence(state, machine, requestedAt);
		}
	}

	if (isChanged || event.tookMs > slowListMs) {
		noteDecision(state, 'machines-listed', {
			machines: listed.size, pages: listing.pages, askedAgoMs: Math.round(state.now - requestedAt), tookMs: Math.round(event.tookMs),
		});
	}

	state.machinesDueAt = state.now + ([...state.machines.values()].some(machine => isUnsettled(machine)) ? listIntervalWhileUnsettledMs : listIntervalMs);
}

/** True if a machine has an order, is in upkeep or moving, or is absent, so that the next list is needed soon. */
function isUnsettled({order, entry, absentSince}: Machine): boolean {
	return order !== undefined || entry.state === 'upkeep' || entry.state === 'moving' || absentSince !== undefined;
}

/** True if the latest two lists, both requested in this leadership term and not before some instant, do not contain a machine. */
export function isGone(state: SchedulerState, id: MachineId, since: SteadyMs): boolean {
	return !state.machines.has(id) && state.previousMachineListRequestedAt >= Math.max(since, state.leadership.leaderSince);
}

/** Requests the next list soon, at the interval used while an order is in progress. */
export function requestList(state: SchedulerState): void {
	state.machinesDueAt = Math.min(state.machinesDueAt, state.machineListRequestedAt + listIntervalWhileUnsettledMs);
}

/**
 * Handles a machine that a list does not contain. It is removed after two such lists in a row, the second of them requested
 * no earlier than the machine should have returned from its order.
 */
function handleAbsence(state: SchedulerState, machine: Machine, requestedAt: SteadyMs): void {
	if (!isListCurrent(machine, requestedAt)) {
		return;
	}

	const {entry: {id}, order} = machine;
	if (machine.absentSince === undefined) {
		machine.absentSince = requestedAt;
		noteWarning(state, 'machine-absent', {machineId: id, order: order?.type ?? 'none'});
	} else if (requestedAt >= getReturnAt(state, machine)) {
		releaseReservedWorkers(state, machine);
		state.machines.delete(id);
		noteDecision(state, 'machine-gone', {machineId: id, order: order?.type ?? 'none', absentMs: Math.round(state.now - machine.absentSince)});
	}
}

/** Lets a machine's workers get tasks again: its order, if any, ends with its removal. */
function releaseReservedWorkers(state: SchedulerState, machine: Machine): void {
	for (const worker of listWorkers(state, machine)) {
		worker.isReserved = false;
		state.needsPlacement = true;
	}
}

function updateMachine(state: SchedulerState, entry: MachineEntry, requestedAt: SteadyMs): void {
	const machine = state.machines.get(entry.id);
	if (!machine) {
		state.machines.set(entry.id, {
			entry, order: undefined, absentSince: undefined, orderEndedAt: 0, drainingForWave: undefined, notBefore: getFirstOrderAt(state, entry.id),
		});
		return;
	}

	if (!isListCurrent(machine, requestedAt)) {
		return;
	}

	noteRowChange(state, machine, entry, requestedAt);
	machine.entry = entry;
	machine.absentSince = undefined;
	if (entry.state === 'up' && entry.workerId !== undefined) {
		// The order was carried out before this worker process started, so the process is still running.
		state.endedWorkers.delete(entry.workerId);
	}

	if (machine.order?.confirmedAt !== undefined && entry.state === 'up' && requestedAt >= getReturnAt(state, machine)) {
		machine.order = undefined;
	}
}

function noteRowChange(state: SchedulerState, {entry: former}: Machine, entry: MachineEntry, requestedAt: SteadyMs): void {
	if (entry.state !== former.state || entry.workerId !== former.workerId) {
		noteDecision(state, 'machine-changed', {
			machineId: entry.id, state: entry.state, formerState: former.state, workerId: entry.workerId, formerWorkerId: former.workerId, askedAgoMs: Math.round(state.now - requestedAt),
		});
	}
}

/** True if a list requested at some instant reflects the outcome of a machine's latest order. */
function isListCurrent({order, orderEndedAt}: Machine, requestedAt: SteadyMs): boolean {
	return (order === undefined || order.isReserving || order.confirmedAt !== undefined) && requestedAt > orderEndedAt;
}

/** When a machine may have returned from its order; the order stays in force until a list requested later shows the machine up. */
export function getReturnAt({settings}: SchedulerState, {order, orderEndedAt}: Machine): SteadyMs {
	return orderEndedAt + (order === undefined ? 0 : getDownMs(settings, order));
}

function getDownMs({moveMs, upkeepMs}: SchedulerSettings, order: MachineOrder): number {
	return order.type === 'move' ? moveMs : upkeepMs;
}

/** The earliest time of the first order: two leaders must not order the same machine within the order lease. */
function getFirstOrderAt(state: SchedulerState, id: MachineId): number {
	return state.storedOrders.has(id) ? state.leadership.leaderSince + state.settings.orderLeaseMs + returnSlackMs : 0;
}
