/** What the latest list of machines says of the machine that a worker runs on. */
import type {MachineEntry} from './types.js';
import type {SchedulerState, Worker} from './state.js';

/** The machine's row that names the worker, else the row of the machine that the worker reported. */
export function findMachineRow({machines}: SchedulerState, worker: Worker): MachineEntry | undefined {
	for (const {entry, absentSince} of machines.values()) {
		if (entry.workerId === worker.id && absentSince === undefined) {
			return entry;
		}
	}

	return worker.machineId === undefined ? undefined : machines.get(worker.machineId)?.entry;
}

/** Fields of a log line: the state of the worker's machine (`unknown` if no row is found), and whether its row names the worker. */
export function describeMachineOf(state: SchedulerState, worker: Worker): {readonly machineState: string; readonly isNamed: boolean; readonly listAgeMs: number} {
	const row = findMachineRow(state, worker);
	return {machineState: row?.state ?? 'unknown', isNamed: row?.workerId === worker.id, listAgeMs: Math.round(state.now - state.machineListRequestedAt)};
}
