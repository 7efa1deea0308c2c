/** Runs a schedule of faults: starts each at its planned time and ends it after its duration. */
import {sleep} from '@rhubarblever/stand-ins';
import type {FaultTable, FaultContext} from './fault-kinds.js';
import type {PlannedFault} from './schedule.js';

/** Runs the whole schedule; resolves when all faults have ended. */
export async function runSchedule(context: FaultContext, table: FaultTable, schedule: readonly PlannedFault[]): Promise<void> {
	const startedAt = Date.now();
	const running: Array<Promise<void>> = [];
	for (const fault of schedule) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(Math.max(0, startedAt + fault.at - Date.now()));
		running.push(runFault(context, table, fault));
	}

	await Promise.all(running);
}

async function runFault(context: FaultContext, table: FaultTable, fault: PlannedFault): Promise<void> {
	const endAt = Date.now() + fault.durationMs;
	try {
		const heal = await table[fault.kind]!.start(context, fault);
		context.journal.count(fault.kind);
		await sleep(Math.max(0, endAt - Date.now()));
		await heal();
	} catch (error) {
		context.journal.remarks.push(`${fault.kind} ${fault.names.join(' ')}: ${(error as Error).message}`);
	}
}
