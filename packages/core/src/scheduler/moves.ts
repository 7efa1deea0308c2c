/** Machines follow demand: idle ones go to the spare pool, and pools with a queue get machines back. */
import {
	canOrder, findWorker, orderMove,
} from './machines.js';
import {getDemand} from './placement.js';
import type {PoolName} from './types.js';
import type {Machine, SchedulerState} from './state.js';

const movesLookMs = 200;
/** A worker without tasks for this long is not needed. */
const idleBeforeSpareMs = 2500;
/** Workers that a pool keeps even without work. */
const leastWorkers = 2;
/** Share of a worker's processor that tasks can really fill. */
const fillShare = 0.85;

/** Orders the moves that are due. */
export function tickMoves(state: SchedulerState): void {
	if (!canOrder(state) || state.now < state.movesDueAt || state.machinesListedAt <= state.leadership.leadsSince) {
		return;
	}

	state.movesDueAt = state.now + movesLookMs;
	const spare = state.config?.pools.find(pool => pool.isSpare)?.name;
	if (spare === undefined) {
		return;
	}

	const incoming = countIncoming(state);
	for (const pool of state.config?.pools ?? []) {
		if (!pool.isSpare) {
			fillPool(state, pool.name, spare, incoming);
		}
	}

	for (const pool of state.config?.pools ?? []) {
		if (!pool.isSpare) {
			releaseIdle(state, pool.name, spare);
		}
	}
}

function countIncoming(state: SchedulerState): Map<PoolName, number> {
	const incoming = new Map<PoolName, number>();
	for (const {order} of state.machines.values()) {
		if (order?.type === 'move') {
			incoming.set(order.pool, (incoming.get(order.pool) ?? 0) + 1);
		}
	}

	return incoming;
}

function isMovable(state: SchedulerState, machine: Machine): boolean {
	return machine.order === undefined && machine.entry.state === 'up' && machine.drainsFor === undefined && (machine.notBefore ?? 0) <= state.now;
}

/** Brings machines for the tasks that wait, spare ones first, then idle ones of pools without a queue. */
function fillPool(state: SchedulerState, pool: PoolName, spare: PoolName, incoming: ReadonlyMap<PoolName, number>): void {
	const demand = getDemand(state, pool);
	if (demand.waitingCpu === 0) {
		return;
	}

	const candidates = [...state.machines.values()].filter(machine => isMovable(state, machine) && machine.entry.pool !== pool)
		.filter(machine => machine.entry.pool === spare || isIdle(state, machine, 0));
	candidates.sort((a, b) => Number(b.entry.pool === spare) - Number(a.entry.pool === spare));
	let missingCpu = demand.waitingCpu;
	const first = candidates[0];
	missingCpu -= (incoming.get(pool) ?? 0) * (first?.entry.capacity.cpu ?? 0) * fillShare;
	for (const machine of candidates) {
		if (missingCpu <= 0) {
			return;
		}

		const isOther = machine.entry.pool !== spare;
		if (isOther && (getDemand(state, machine.entry.pool).waitingTasks > 0 || countWorkers(state, machine.entry.pool) <= leastWorkers)) {
			continue;
		}

		reserveAndMove(state, machine, pool);
		missingCpu -= machine.entry.capacity.cpu * fillShare;
	}
}

function isIdle(state: SchedulerState, machine: Machine, sinceMs: number): boolean {
	const worker = findWorker(state, machine);
	return worker !== undefined && worker.isListed && worker.isFenced && !worker.isDraining && worker.tasks.size === 0 && worker.strangers.size === 0
		&& worker.readEnd === worker.ackedEnd && state.now - worker.idleSince >= sinceMs;
}

function countWorkers(state: SchedulerState, pool: PoolName): number {
	let count = 0;
	for (const worker of state.workers.values()) {
		count += worker.pool === pool && worker.isListed && !worker.isReserved && !worker.isDraining ? 1 : 0;
	}

	return count;
}

function releaseIdle(state: SchedulerState, pool: PoolName, spare: PoolName): void {
	if (getDemand(state, pool).waitingTasks > 0) {
		return;
	}

	let count = countWorkers(state, pool);
	for (const machine of state.machines.values()) {
		if (count <= leastWorkers) {
			return;
		}

		if (machine.entry.pool === pool && isMovable(state, machine) && isIdle(state, machine, idleBeforeSpareMs)) {
			reserveAndMove(state, machine, spare);
			count--;
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
