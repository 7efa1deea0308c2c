/** The workers on a machine, as far as they are known. */
import {unconfirmedLimitMs, workerLeaseMs} from './timing.js';
import type {MachineId} from './types.js';
import type {Machine, SchedulerState, Worker} from './state.js';

/** The worker of a machine, if one is known. */
export function findWorker(state: SchedulerState, machine: Machine): Worker | undefined {
	const byId = machine.entry.workerId === undefined ? undefined : state.workers.get(machine.entry.workerId);
	return byId ?? findWorkerOfMachine(state, machine.entry.id);
}

/** All workers that may be at work on a machine: its entry or theirs may be out of date. */
export function listWorkers(state: SchedulerState, {entry}: Machine): Worker[] {
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

/** True if something runs at a worker, or its ends are not all stored and acknowledged. */
export function isBusy({tasks, strangers, readEnd, ackedEnd}: Worker): boolean {
	return tasks.size > 0 || strangers.size > 0 || readEnd !== ackedEnd;
}
