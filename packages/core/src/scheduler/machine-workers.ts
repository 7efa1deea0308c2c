/** Finds the known workers of a machine. */
import type {MachineId, PoolName} from './types.js';
import type {Machine, SchedulerState, Worker} from './state.js';

/** The worker that a machine's list entry names, else one that is registered for the machine. */
export function findWorker(state: SchedulerState, machine: Machine): Worker | undefined {
	return getWorkerOf(state, machine) ?? findWorkerOfMachine(state, machine.entry.id);
}

/** All workers that may run on a machine; its list entry or their registration may be out of date. */
export function listWorkers(state: SchedulerState, {entry}: Machine): Worker[] {
	return [...state.workers.values()].filter(worker => worker.id === entry.workerId || (worker.machineId === entry.id && (worker.isListed || worker.tasks.size > 0)));
}

/**
 * True if no worker of a machine is known. A worker that only the machine's list entry names may still run tasks of an earlier
 * leader, until any lease from it must have expired; but nothing runs on a spare machine, which is off.
 */
export function hasNoWorker(state: SchedulerState, machine: Machine): boolean {
	const {entry: {workerId, pool}} = machine;
	return findWorker(state, machine) === undefined
		&& (workerId === undefined || isSparePool(state, pool) || state.now > state.leadership.earlierLeasesUntil);
}

function isSparePool({config}: SchedulerState, name: PoolName): boolean {
	return config?.pools.some(pool => pool.name === name && pool.isSpare) ?? false;
}

function findWorkerOfMachine(state: SchedulerState, id: MachineId): Worker | undefined {
	for (const worker of state.workers.values()) {
		if (worker.machineId === id && worker.isListed) {
			return worker;
		}
	}

	return undefined;
}

/** True if a worker runs something, or some of its run ends are not yet stored and acknowledged. */
export function isBusy({tasks, unknownRuns, lastReadEnd, lastAckedEnd}: Worker): boolean {
	return tasks.size > 0 || unknownRuns.size > 0 || lastReadEnd !== lastAckedEnd;
}

/** The worker that the platform lists for a machine; undefined if it lists none, or one that this leader does not know. */
export function getWorkerOf(state: SchedulerState, {entry}: Machine): Worker | undefined {
	return entry.workerId === undefined ? undefined : state.workers.get(entry.workerId);
}

/** The share of a machine's capacity that its worker offers now: the worker's capacity may have shrunk. */
export function computeOfferedShare(machine: Machine | undefined, worker: Worker | undefined): number {
	// The capacity of a new incarnation is not known before the registry lists it.
	if (!machine || !worker || worker.pool === '') {
		return 1;
	}

	const {capacity} = machine.entry;
	const ratios = (['cpu', 'memoryMb', 'gpu'] as const).filter(name => capacity[name] > 0).map(name => worker.capacity[name] / capacity[name]);
	return Math.min(1, ...ratios);
}
