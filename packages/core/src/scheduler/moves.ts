/** Moves machines between pools according to demand: pools that lack machines get spare ones first, and idle ones go back to the spare pool. */
import {isConfirmedWithin} from './confirmation.js';
import {describeNeed, getDemand, updateDemand} from './demand.js';
import {isQuarantined} from './health.js';
import {noteDecision} from './logging.js';
import {canOrder, canTakeOrder, orderMove} from './machine-orders.js';
import {
	computeOfferedShare, findWorker, getWorkerOf, hasNoWorker, isBusy,
} from './machine-workers.js';
import {noResources} from './resources.js';
import {never} from './timing.js';
import type {PoolName, Resources} from './types.js';
import type {Machine, SchedulerState} from './state.js';

const moveIntervalMs = 150;
/** A leader that is new, or that the store did not answer until now, has not seen any arrivals yet; for this long it moves no machine to the spare pool. */
const warmUpMs = 4000;
const shortageLogIntervalMs = 1000;
/** A store that has confirmed no append sent within this time, or a stream of jobs not read to its end by a read sent within it, is away rather than slow. */
const storeOutageMs = 2000;
/** The machine of a worker without tasks for this long may go to the spare pool. */
const idleBeforeSpareMs = 1500;
/** For this long after a read of the whole stream of jobs, another one is on its way. */
const intakeReadMs = 600;
/** Machines that a pool keeps even without work. */
const minMachines = 3;
/** Machines beyond its present need that a pool does not give to others. */
const lendingReserve = 1;
const failedPollsUntilUnreachable = 2;

/** Orders the moves that are due. */
export function tickMoves(state: SchedulerState): void {
	noteArrivalsSeen(state);
	if (!state.areArrivalsSeen) {
		state.spareNotBefore = state.now + warmUpMs;
	}

	if (!canOrder(state)) {
		return;
	}

	if (state.now < state.movesDueAt) {
		return;
	}

	state.movesDueAt = state.now + moveIntervalMs;
	const spare = state.config?.pools.find(pool => pool.isSpare)?.name;
	if (spare === undefined) {
		return;
	}

	const pools = updateBalances(state, spare);
	reportShortages(state, pools);
	const firstOrder = state.nextOrderNumber;
	fillPools(state, pools, spare);
	if (state.now >= Math.max(state.spareNotBefore, state.leadership.leaderSince + warmUpMs)) {
		for (const pool of pools) {
			moveIdleToSpare(state, pool, spare);
		}
	}

	reportMoves(state, firstOrder);
}

/**
 * Notes and logs whether this leader can see which jobs come. While the store does not answer, or its stream of jobs alone,
 * no job is accepted or none is read: idle machines do not show that there is no load.
 */
function noteArrivalsSeen(state: SchedulerState): void {
	const intakeAgeMs = state.now - state.intakeCompleteAt;
	const areSeen = isConfirmedWithin(state, storeOutageMs) && intakeAgeMs < storeOutageMs;
	if (areSeen !== state.areArrivalsSeen) {
		state.areArrivalsSeen = areSeen;
		noteDecision(state, areSeen ? 'arrivals-seen' : 'arrivals-unseen', {
			intakeAgeMs: Math.round(intakeAgeMs), confirmedAgeMs: Math.round(state.now - state.leadership.confirmedAt),
		});
	}
}

function fillPools(state: SchedulerState, pools: readonly PoolBalance[], spare: PoolName): void {
	const unreachableZones = listUnreachableZones(state);
	for (const pool of pools.toSorted((a, b) => b.missing - a.missing)) {
		fillPool(state, pool, pools, {spare, unreachableZones});
	}
}

/** Logs how many machines were ordered from one pool to another, as the log may leave out lines about single machines. */
function reportMoves(state: SchedulerState, firstOrder: number): void {
	const counts = new Map<string, {from: PoolName; to: PoolName; machines: number}>();
	for (const {entry: {pool: from}, order} of state.nextOrderNumber > firstOrder ? state.machines.values() : []) {
		if (order?.type === 'move' && order.number >= firstOrder) {
			const key = JSON.stringify([from, order.pool]);
			const count = counts.get(key) ?? {from, to: order.pool, machines: 0};
			counts.set(key, {...count, machines: count.machines + 1});
		}
	}

	for (const count of counts.values()) {
		noteDecision(state, 'pool-moves', count);
	}
}

/** True if a machine is down, in upkeep, or missing from the list, so that its pool cannot use it now. */
function isUnavailable({entry, order, absentSince}: Machine): boolean {
	return entry.state === 'down' || order?.type === 'upkeep' || (absentSince !== undefined && order === undefined);
}

/** True if a machine is up but its worker leaves, is out of reach or in quarantine: until it is back, its pool needs another machine in its place. */
function isUnusable(state: SchedulerState, machine: Machine): boolean {
	const worker = getWorkerOf(state, machine);
	return worker !== undefined && (worker.isDraining || worker.failedPolls >= failedPollsUntilUnreachable || isQuarantined(state, worker));
}

type PoolBalance = {
	readonly name: PoolName;
	readonly isWaiting: boolean;
	/** Machines that the pool needs but neither has nor has been assigned. */
	missing: number;
	/** Machines beyond the present need of the pool; they may go to pools that lack some. */
	lendable: number;
	/** Machines beyond the recent peak need of the pool; they may go to the spare pool, whose machines are off. */
	surplus: number;
};

/** The capacity of the largest machine. */
function findMachineSize({machines}: SchedulerState): Resources {
	let size = noResources;
	for (const {entry: {capacity}} of machines.values()) {
		size = capacity.cpu > size.cpu ? capacity : size;
	}

	return size;
}

function updateBalances(state: SchedulerState, spare: PoolName): PoolBalance[] {
	const present = new Map<PoolName, number>();
	const incoming = new Map<PoolName, number>();
	const size = findMachineSize(state);
	for (const machine of state.machines.values()) {
		const {entry, order} = machine;
		const pool = order?.type === 'move' ? order.pool : entry.pool;
		if (order?.type === 'move') {
			incoming.set(pool, (incoming.get(pool) ?? 0) + 1);
		}

		present.set(pool, (present.get(pool) ?? 0) + (isUnavailable(machine) || isUnusable(state, machine) ? 0 : computeOfferedShare(machine, getWorkerOf(state, machine))));
	}

	return (state.config?.pools ?? []).filter(pool => pool.name !== spare && !pool.isSpare).map(({name}) => {
		const demand = updateDemand(state, name, size);
		const machines = present.get(name) ?? 0;
		const replacements = Math.max(demand.leavingWithoutRoom, demand.replacementUntil > state.now ? 1 : 0);
		demand.missing = Math.max(Math.ceil(demand.machines - machines), replacements - (incoming.get(name) ?? 0));
		return {
			name,
			isWaiting: demand.waitingTasks > 0,
			missing: demand.missing,
			lendable: Math.floor(machines - demand.machines - replacements - lendingReserve),
			surplus: Math.floor(machines - replacements - Math.max(minMachines, demand.peakMachines)),
		};
	});
}

/** Logs which pools lack machines, at most once a second. */
function reportShortages(state: SchedulerState, pools: readonly PoolBalance[]): void {
	if (state.now < state.shortageLoggedAt + shortageLogIntervalMs) {
		return;
	}

	state.shortageLoggedAt = state.now;
	const idle = countIdle(state);
	const idleInPools = [...idle].map(([pool, machines]) => `${pool} ${machines}`).join(', ');
	for (const {name, missing} of pools) {
		const {machines, waitingTasks, refused, usableMachines} = getDemand(state, name);
		if (missing > 0 || waitingTasks > 0) {
			noteDecision(state, 'pool-short', {
				pool: name,
				needed: Math.ceil(machines),
				missing,
				usable: Math.floor(usableMachines),
				waitingTasks,
				...describeNeed(state, name, findMachineSize(state)),
				idleInPools,
				...refused,
			});
		}
	}
}

/** Machines of each pool that could be given another order and whose workers have no tasks. */
function countIdle(state: SchedulerState): Map<PoolName, number> {
	const idle = new Map<PoolName, number>();
	for (const machine of state.machines.values()) {
		if (isMovable(state, machine) && (hasNoWorker(state, machine) || isIdle(state, machine))) {
			idle.set(machine.entry.pool, (idle.get(machine.entry.pool) ?? 0) + 1);
		}
	}

	return idle;
}

/** Zones in which at least half of the workers do not answer; machines there are not moved to other pools. */
function listUnreachableZones(state: SchedulerState): Set<string> {
	const listed = new Map<string, number>();
	const unreachable = new Map<string, number>();
	for (const {availabilityZone, failedPolls, isListed} of state.workers.values()) {
		if (isListed) {
			listed.set(availabilityZone, (listed.get(availabilityZone) ?? 0) + 1);
			unreachable.set(availabilityZone, (unreachable.get(availabilityZone) ?? 0) + (failedPolls >= failedPollsUntilUnreachable ? 1 : 0));
		}
	}

	return new Set([...listed].filter(([zone, count]) => (unreachable.get(zone) ?? 0) * 2 >= count).map(([zone]) => zone));
}

function isMovable(state: SchedulerState, machine: Machine): boolean {
	return canTakeOrder(state, machine) && machine.drainingForWave === undefined;
}

/** Moves machines to a pool that lacks some: spare ones first, then idle ones of pools that have more than they need. */
function fillPool(state: SchedulerState, pool: PoolBalance, pools: readonly PoolBalance[], {spare, unreachableZones}: {readonly spare: PoolName; readonly unreachableZones: ReadonlySet<string>}): void {
	if (pool.missing <= 0) {
		return;
	}

	const movable = [...state.machines.values()].filter(machine =>
		isMovable(state, machine) && machine.entry.pool !== pool.name && !unreachableZones.has(machine.entry.availabilityZone));
	for (const machine of movable.filter(({entry}) => entry.pool === spare)) {
		if (hasNoWorker(state, machine) || isIdle(state, machine)) {
			moveToPool(state, machine, pool);
		}
	}

	for (const machine of movable.filter(({entry}) => entry.pool !== spare)) {
		const donor = pools.find(({name}) => name === machine.entry.pool);
		if (donor && donor.lendable > 0 && !donor.isWaiting && isIdle(state, machine) && moveToPool(state, machine, pool)) {
			donor.lendable--;
			donor.surplus--;
		}
	}
}

function moveToPool(state: SchedulerState, machine: Machine, pool: PoolBalance): boolean {
	if (pool.missing <= 0) {
		return false;
	}

	pool.missing--;
	reserveAndMove(state, machine, pool.name);
	return true;
}

function isIdle(state: SchedulerState, machine: Machine): boolean {
	const worker = findWorker(state, machine);
	return worker !== undefined && worker.isListed && worker.isPolledByLeader && !worker.isDraining && !isBusy(worker);
}

/** How long a machine's worker has been seen without tasks. Time in which no job could be seen does not count. */
function getIdleMs(state: SchedulerState, machine: Machine): number {
	const seenUntil = Math.min(state.now, state.intakeCompleteAt + intakeReadMs);
	return seenUntil - (findWorker(state, machine)?.idleSince ?? never);
}

function moveIdleToSpare(state: SchedulerState, pool: PoolBalance, spare: PoolName): void {
	if (getDemand(state, pool.name).waitingTasks > 0) {
		return;
	}

	for (const machine of state.machines.values()) {
		if (pool.surplus <= 0) {
			return;
		}

		if (machine.entry.pool === pool.name && isMovable(state, machine) && isIdle(state, machine) && getIdleMs(state, machine) >= idleBeforeSpareMs) {
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
