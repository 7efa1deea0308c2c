/** Machines follow demand: pools whose turn it is get machines, first spare ones, and idle ones go to the spare pool. */
import {getDemand, updateDemand} from './demand.js';
import {noteDecision} from './logging.js';
import {canOrder, isFree, orderMove} from './machine-orders.js';
import {findWorker, hasNoWorker, isWorking} from './machine-workers.js';
import {noResources} from './resources.js';
import type {PoolName} from './types.js';
import type {Machine, SchedulerState} from './state.js';

const movesLookMs = 150;
/** A new leader has seen no arrivals yet: it sends no machine away before it has. */
const learnMs = 4000;
const needsNotePauseMs = 1000;
/** A worker without tasks for this long may be sent away. */
const idleBeforeSpareMs = 1500;
/** Workers that a pool keeps even without work. */
const leastWorkers = 3;
/** Workers above its present need that a pool does not lend. */
const lendReserve = 1;
const missesOutOfReach = 2;

/** Orders the moves that are due. */
export function tickMoves(state: SchedulerState): void {
	if (!canOrder(state) || state.now < state.movesDueAt) {
		return;
	}

	state.movesDueAt = state.now + movesLookMs;
	const spare = state.config?.pools.find(pool => pool.isSpare)?.name;
	if (spare === undefined) {
		return;
	}

	const pools = listPools(state, spare);
	noteNeeds(state, pools);
	const silentZones = listSilentZones(state);
	for (const pool of pools.toSorted((a, b) => b.missing - a.missing)) {
		fillPool(state, pool, pools, {spare, silentZones});
	}

	if (state.now < state.leadership.leaderSince + learnMs) {
		return;
	}

	for (const pool of pools) {
		releaseIdle(state, pool, spare);
	}
}

/** Down, in its upkeep, or not listed: of no use to its pool for now. */
function isAway({entry, order, absentSince}: Machine): boolean {
	return entry.state === 'down' || order?.type === 'upkeep' || (absentSince !== undefined && order === undefined);
}

type PoolView = {
	readonly name: PoolName;
	readonly isWaiting: boolean;
	/** Machines that the pool needs and does not have or get. */
	missing: number;
	/** Machines above what the pool needs now: pools in need get these. */
	lendable: number;
	/** Machines above what the pool has needed lately: these may be switched off. */
	surplus: number;
};

function listPools(state: SchedulerState, spare: PoolName): PoolView[] {
	const present = new Map<PoolName, number>();
	const incoming = new Set<PoolName>();
	let size = noResources;
	for (const machine of state.machines.values()) {
		const {entry, order} = machine;
		const pool = order?.type === 'move' ? order.pool : entry.pool;
		if (order?.type === 'move') {
			incoming.add(pool);
		}

		present.set(pool, (present.get(pool) ?? 0) + (isAway(machine) ? 0 : 1));
		size = entry.capacity.cpu > size.cpu ? entry.capacity : size;
	}

	return (state.config?.pools ?? []).filter(pool => pool.name !== spare && !pool.isSpare).map(({name}) => {
		const demand = updateDemand(state, name, size);
		const machines = present.get(name) ?? 0;
		const replacements = demand.replacementUntil > state.now ? 1 : 0;
		demand.missing = Math.max(demand.machines - machines, incoming.has(name) ? 0 : replacements);
		return {
			name, isWaiting: demand.waitingTasks > 0, missing: demand.missing, lendable: machines - demand.machines - replacements - lendReserve, surplus: machines - replacements - Math.max(leastWorkers, demand.peakMachines),
		};
	});
}

/** Tells of pools that lack machines, once a second. */
function noteNeeds(state: SchedulerState, pools: readonly PoolView[]): void {
	if (state.now < state.shortageLoggedAt + needsNotePauseMs) {
		return;
	}

	state.shortageLoggedAt = state.now;
	for (const {name, missing} of pools) {
		const {machines, waitingTasks} = getDemand(state, name);
		if (missing > 0 || waitingTasks > 0) {
			noteDecision(state, 'pool-short', {
				pool: name, needed: machines, missing, waitingTasks,
			});
		}
	}
}

/** Zones in which half of the workers or more do not answer; machines there would be of no use. */
function listSilentZones(state: SchedulerState): Set<string> {
	const known = new Map<string, number>();
	const silent = new Map<string, number>();
	for (const {availabilityZone, missedPolls, isListed} of state.workers.values()) {
		if (isListed) {
			known.set(availabilityZone, (known.get(availabilityZone) ?? 0) + 1);
			silent.set(availabilityZone, (silent.get(availabilityZone) ?? 0) + (missedPolls >= missesOutOfReach ? 1 : 0));
		}
	}

	return new Set([...known].filter(([zone, count]) => (silent.get(zone) ?? 0) * 2 >= count).map(([zone]) => zone));
}

function isMovable(state: SchedulerState, machine: Machine): boolean {
	return isFree(state, machine) && machine.drainingForWave === undefined;
}

/** Brings machines, spare ones first, then idle ones of pools that have more than they need. */
function fillPool(state: SchedulerState, pool: PoolView, pools: readonly PoolView[], {spare, silentZones}: {readonly spare: PoolName; readonly silentZones: ReadonlySet<string>}): void {
	if (pool.missing <= 0) {
		return;
	}

	const movable = [...state.machines.values()].filter(machine =>
		isMovable(state, machine) && machine.entry.pool !== pool.name && !silentZones.has(machine.entry.availabilityZone));
	for (const machine of movable.filter(({entry}) => entry.pool === spare)) {
		if (hasNoWorker(state, machine) || isIdle(state, machine, 0)) {
			moveFor(state, machine, pool);
		}
	}

	for (const machine of movable.filter(({entry}) => entry.pool !== spare)) {
		const giver = pools.find(({name}) => name === machine.entry.pool);
		if (giver && giver.lendable > 0 && !giver.isWaiting && isIdle(state, machine, 0) && moveFor(state, machine, pool)) {
			giver.lendable--;
			giver.surplus--;
		}
	}
}

function moveFor(state: SchedulerState, machine: Machine, pool: PoolView): boolean {
	if (pool.missing <= 0) {
		return false;
	}

	pool.missing--;
	reserveAndMove(state, machine, pool.name);
	return true;
}

function isIdle(state: SchedulerState, machine: Machine, sinceMs: number): boolean {
	const worker = findWorker(state, machine);
	return worker !== undefined && worker.isListed && worker.isFenced && !worker.isDraining && !isWorking(worker)
		&& state.now - worker.idleSince >= sinceMs;
}

function releaseIdle(state: SchedulerState, pool: PoolView, spare: PoolName): void {
	if (getDemand(state, pool.name).waitingTasks > 0) {
		return;
	}

	for (const machine of state.machines.values()) {
		if (pool.surplus <= 0) {
			return;
		}

		if (machine.entry.pool === pool.name && isMovable(state, machine) && isIdle(state, machine, idleBeforeSpareMs)) {
			reserveAndMove(state, machine, spare);
			pool.surplus--;
		}
	}
}

function reserveAndMove(state: SchedulerState, machine: Machine, pool: PoolName): void {
	const worker = findWorker(state, machine);
	if (worker) {
		worker.isReserved = true;
		worker.machineId = machine.entry.id;
	}

	orderMove(state, machine, pool);
}
