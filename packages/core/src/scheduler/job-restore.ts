/** Restores the tasks of a job from its stored progress, when a host takes the leadership. */
import {hasOccurrence} from './occurrence-ranges.js';
import {ensureTask, getOccurrence} from './occurrences.js';
import {isStartConfirmed, isStartOpen} from './open-leases.js';
import {ensureWorker, noteLateStart} from './registry.js';
import {attachTask} from './tasks.js';
import {never} from './timing.js';
import type {ProgressRow} from './types.js';
import type {
	Job, LiveJob, SchedulerState, Task,
} from './state.js';

/** True if stored rows tell of runs that may go on. */
export function hasAssignedTasks(rows: readonly ProgressRow[]): boolean {
	return rows.some(({status}) => status === 'placed');
}

/** The runs of a cancelled or failed job may go on: they count for their account until they have certainly ended, and are stopped with the next clock event. */
export function stopRestored(live: LiveJob): void {
	for (const task of [...live.occurrences.values()].flatMap(({steps}) => steps).flatMap(({tasks}) => tasks)) {
		if (task.status === 'placed') {
			task.status = 'stopping';
			task.conclusiveAfter = never;
			task.stopDueAt = 0;
		}
	}
}

/** Restores every occurrence that has begun, even if it is not due by this host's clock: the former leader's clock may have been ahead. */
export function restoreRows(state: SchedulerState, job: Job, live: LiveJob, rows: readonly ProgressRow[]): void {
	for (const row of rows) {
		if (hasOccurrence(live.finishedOccurrences, row.occurrence)) {
			continue;
		}

		const step = getOccurrence(state, job, live, row.occurrence).steps[row.step];
		const task = step && ensureTask(step, row.index);
		if (task) {
			restoreTask(state, task, row);
		}
	}
}

/** Restores the stored evidence about a task. */
function restoreCrashes(state: SchedulerState, task: Task, crashes: ProgressRow['crashes'] = []): void {
	task.crashes = crashes;
	if (crashes.length > 0) {
		state.suspects.add(task);
	}
}

/** Restores one task. A stored start may not have reached its worker; the worker's next answer shows whether the run exists. */
function restoreTask(state: SchedulerState, task: Task, row: ProgressRow): void {
	task.run = row.run;
	task.failures = row.failures;
	task.checkpoint = row.checkpoint;
	restoreCrashes(state, task, row.crashes);
	if (row.status === 'done') {
		task.status = 'done';
		task.step.doneCount++;
	} else if (row.status === 'placed') {
		task.status = 'placed';
		task.isSent = true;
		// When the run began is not known: it may have been just now.
		task.startedAt = state.now;
		task.isStartKnown = false;
		task.isResumed = row.checkpoint !== '';
		// No poll of this leadership term was sent before this instant, so any poll of this term shows whether the run exists.
		task.conclusiveAfter = state.leadership.leaderSince;
		const worker = ensureWorker(state, row.workerId, row.workerBornAt);
		attachTask(state, worker, task);
		task.isReported = worker.bornAt === row.workerBornAt && isStartConfirmed(state, task, row);
		if (isStartOpen(state, task)) {
			noteLateStart(state, worker, task, state.leadership.earlierCallsUntil);
		}
	}
}
