/**
 * Restarts of workers that only the registry tells of. An entry there may come from another writer. While runs go on at the
 * known process, a later birth is therefore used only once the worker itself has told it, or no lease of the known process lasts.
 */
import {sendExtraPoll} from './extra-polls.js';
import {noteDecision} from './logging.js';
import {hasSentTasks} from './tasks.js';
import type {SteadyMs, WorkerEntry} from './types.js';
import type {SchedulerState, Worker} from './state.js';

/** A worker that has not answered is asked again after this time. */
const askIntervalMs = 500;

/** An entry with a later birth that the worker has not confirmed yet. */
export type ReportedBirth = {
	/** The latest entry with that birth. */
	entry: WorkerEntry;
	readonly since: SteadyMs;
	askDueAt: SteadyMs;
};

/** True if an entry with a later birth shows that the worker has restarted; otherwise asks the worker, unless it has already rejected that birth. */
export function isBirthCertain(state: SchedulerState, worker: Worker, entry: WorkerEntry): boolean {
	if (entry.bornAt === worker.rejectedBornAt) {
		return false;
	}

	if (!hasSentTasks(worker)) {
		return true;
	}

	if (worker.reportedBirth?.entry.bornAt === entry.bornAt) {
		worker.reportedBirth.entry = entry;
		return false;
	}

	noteDecision(state, 'worker-birth-reported', {
		workerId: worker.id, bornAt: worker.bornAt, reportedBornAt: entry.bornAt, tasks: worker.tasks.size,
	});
	// A worker that only stored placements have named so far.
	worker.address ||= entry.address;
	worker.reportedBirth = {entry, since: state.now, askDueAt: state.now + askIntervalMs};
	sendExtraPoll(state, worker);
	return false;
}

/** Handles an answer of the known process to a poll sent at `sentAt`: a birth reported before was not the worker's. */
export function rejectBirth(state: SchedulerState, worker: Worker, sentAt: SteadyMs): void {
	const {reportedBirth} = worker;
	if (reportedBirth && reportedBirth.since <= sentAt) {
		noteDecision(state, 'worker-birth-rejected', {workerId: worker.id, bornAt: worker.bornAt, reportedBornAt: reportedBirth.entry.bornAt});
		worker.rejectedBornAt = reportedBirth.entry.bornAt;
		worker.reportedBirth = undefined;
	}
}

/** Asks again where no answer came. Returns the entry once nothing is left that its birth could end. */
export function takeCertainEntry(state: SchedulerState, worker: Worker): WorkerEntry | undefined {
	const {reportedBirth} = worker;
	if (!reportedBirth) {
		return undefined;
	}

	if (!hasSentTasks(worker)) {
		return reportedBirth.entry;
	}

	if (state.now >= reportedBirth.askDueAt) {
		reportedBirth.askDueAt = state.now + askIntervalMs;
		sendExtraPoll(state, worker);
	}

	return undefined;
}
