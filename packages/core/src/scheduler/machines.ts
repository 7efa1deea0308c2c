/** The machines behind the workers, as the platform lists them: each list tells how things stood when it was asked for. */
import {addEffect, noteDecision, noteWarning} from './logging.js';
import type {SchedulerEvent} from './events.js';
import type {MachineEntry, MachineId, SteadyMs} from './types.js';
import type {
	Machine, MachineOrder, SchedulerSettings, SchedulerState,
} from './state.js';

type MachinesListed = Extract<SchedulerEvent, {type: 'machines/listed'}>;

const listPauseMs = 4000;
/** The list is read more often while machines are on their way. */
const listPauseInOrderMs = 500;
const listRetryMs = 500;
/** A list that took longer is told of. */
const slowListMs = 500;
/** A machine is back this much later than announced at the most. */
export const returnSlackMs = 300;

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
	if (leadership.role !== 'leader' || event.requestedAt < leadership.leaderSince) {
		return;
	}

	state.isListingMachines = false;
	const {listing, requestedAt: askedAt} = event;
	if (listing.type !== 'listed') {
		state.machinesDueAt = state.now + listRetryMs;
		noteWarning(state, 'machines-not-listed', {
			ageMs: Math.round(state.now - state.machineListRequestedAt), reason: listing.reason, unreadableRows: listing.unreadableRows,
		});
		return;
	}

	state.previousMachineListRequestedAt = state.machineListRequestedAt;
	state.machineListRequestedAt = askedAt;
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
	return !state.machines.has(id) && state.previousMachineListRequestedAt >= Math.max(since, state.leadership.leaderSince);
}

/** Asks for the next list soon, as when a machine is on its way. */
export function requestList(state: SchedulerState): void {
	state.machinesDueAt = Math.min(state.machinesDueAt, state.machineListRequestedAt + listPauseInOrderMs);
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
			entry, order: undefined, absentSince: undefined, orderEndedAt: 0, drainingForWave: undefined, notBefore: getFirstOrderAt(state, entry.id),
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
export function getReturnAt({settings}: SchedulerState, {order, orderEndedAt}: Machine): SteadyMs {
	return orderEndedAt + (order === undefined ? 0 : getDownMs(settings, order));
}

function getDownMs({moveMs, upkeepMs}: SchedulerSettings, order: MachineOrder): number {
	return order.type === 'move' ? moveMs : upkeepMs;
}

/** Two leaders do not order one machine within the order lease. */
function getFirstOrderAt(state: SchedulerState, id: MachineId): number {
	return state.storedOrders.has(id) ? state.leadership.leaderSince + state.settings.orderLeaseMs + returnSlackMs : 0;
}
