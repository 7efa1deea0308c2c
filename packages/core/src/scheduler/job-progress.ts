/** The progress of a job as the leader stores it: one record, or one and further ones with parts of the rows. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {findBindingWorker} from './late-starts.js';
import {noteWarning} from './logging.js';
import {isFinal} from './phases.js';
import {
	applyPart, computeRowsPerPart, doRowsFit, dropLongCheckpoints, findParts, listPartNames, listTasksOfPart, type PartPosition, type StoredPart,
} from './progress-parts.js';
import type {
	JobProgress, LedgerRecord, PartName, ProgressRow,
} from './types.js';
import type {
	Job, LiveJob, SchedulerState, Task,
} from './state.js';

/** What is to be appended for a job, and the progress that its own record holds. */
export type StoredProgress = {readonly progress: JobProgress; readonly records: readonly LedgerRecord[]};

/** With more finished occurrences, a job has parts: its own record then lists ranges of them. */
const maxListedOccurrences = 500;
const noRows: StoredPart = {rows: []};

/** The rows of each part that may have changed; none for a part that is to be removed. */
type ChangedParts = ReadonlyMap<PartName, readonly ProgressRow[]>;

/**
 * The records that store what has changed of a job. If the store takes them in several appends, a new leader may find only
 * the first of them: parts come before the record that refers to them, and are removed after it.
 */
export function storeJobProgress(state: SchedulerState, job: Job): StoredProgress {
	const {live} = job;
	const stored = new Set(listPartNames(state, job.definition.jobId));
	if (!live) {
		return createStoredProgress(state, job, {
			phase: job.phase, finishedOccurrences: [], rows: [], finishedAt: 0 as Instant,
		}, listEmptyParts(stored));
	}

	const isInOneRecord = live.rowsPerPart === undefined;
	const rows = isInOneRecord ? listRows(state, live, listTasks(live)) : [];
	const hasParts = !isInOneRecord || live.finishedOccurrences.size > maxListedOccurrences || !doRowsFit(rows, state.settings.maxRecordBytes);
	const isWhole = isInOneRecord || isFinal(live.phase);
	live.rowsPerPart = hasParts ? live.rowsPerPart ?? computeRowsPerPart(state.settings) : undefined;
	const progress: JobProgress = {
		phase: live.phase,
		finishedOccurrences: isFinal(live.phase) ? [] : [...live.finishedOccurrences.ranges],
		rows: hasParts ? [] : rows,
		finishedAt: live.finishedAt,
		...(hasParts && {rowsPerPart: live.rowsPerPart}),
	};
	const changed = listChangedParts(state, live, {stored, isWhole});
	live.changedTasks.clear();
	return createStoredProgress(state, job, progress, changed);
}

function createStoredProgress(state: SchedulerState, {definition: {jobId}}: Job, progress: JobProgress, changed: ChangedParts): StoredProgress {
	const parts: LedgerRecord[] = [];
	const removals: LedgerRecord[] = [];
	for (const [part, rows] of changed) {
		if (rows.length > 0) {
			parts.push({
				type: 'progress-part', jobId, part, rows: keepWithinRecord(state, jobId, rows),
			});
			// The rows themselves are not needed while this host leads.
			applyPart(state, jobId, part, noRows);
		} else {
			removals.push({type: 'progress-part-removed', jobId, part});
			applyPart(state, jobId, part, undefined);
		}
	}

	return {progress, records: [...parts, {type: 'progress', jobId, progress}, ...removals]};
}

/** `isWhole`: all parts are listed, whether they have changed or not. */
function listChangedParts(state: SchedulerState, live: LiveJob, {stored, isWhole}: {readonly stored: ReadonlySet<PartName>; readonly isWhole: boolean}): ChangedParts {
	const changed = listEmptyParts(isWhole ? stored : []);
	const {rowsPerPart} = live;
	if (rowsPerPart === undefined) {
		return changed;
	}

	for (const [part, position] of findParts(isWhole ? listTasks(live) : live.changedTasks, rowsPerPart)) {
		const rows = listRowsOfPart(state, live, {position, rowsPerPart});
		if (rows.length > 0 || stored.has(part)) {
			changed.set(part, rows);
		}
	}

	return changed;
}

function listEmptyParts(names: Iterable<PartName>): Map<PartName, readonly ProgressRow[]> {
	return new Map([...names].map(part => [part, []]));
}

/** None if the occurrence has ended. */
function listRowsOfPart(state: SchedulerState, live: LiveJob, {position, rowsPerPart}: {readonly position: PartPosition; readonly rowsPerPart: number}): ProgressRow[] {
	const {occurrence} = position;
	return live.occurrences.get(occurrence.number) === occurrence ? listRows(state, live, listTasksOfPart(position, rowsPerPart)) : [];
}

function * listTasks({occurrences}: LiveJob): Iterable<Task> {
	for (const {steps} of occurrences.values()) {
		for (const {tasks} of steps) {
			yield * tasks;
		}
	}
}

/** Of a job that is over, only the runs that may go on are stored: a new leader counts and stops them. */
function hasRow({phase}: LiveJob, {run, status, worker}: Task): boolean {
	return isFinal(phase) ? worker !== undefined : run > 0 || status === 'done';
}

function listRows(state: SchedulerState, live: LiveJob, tasks: Iterable<Task>): ProgressRow[] {
	const rows: ProgressRow[] = [];
	for (const task of tasks) {
		if (hasRow(live, task)) {
			rows.push(createRow(state, task));
		}
	}

	return rows;
}

/** A waiting task that is bound to a worker by a late start is stored as placed there: a new leader asks that worker first. */
function createRow(state: SchedulerState, task: Task): ProgressRow {
	const {step} = task;
	const worker = task.worker ?? (task.status === 'waiting' ? findBindingWorker(state, task) : undefined);
	return {
		occurrence: step.occurrence.number,
		step: step.number,
		index: task.index,
		status: worker ? 'placed' : (task.status === 'done' ? 'done' : 'waiting'),
		run: task.run,
		failures: task.failures,
		workerId: worker?.id ?? '',
		workerBornAt: worker?.bornAt ?? 0,
		checkpoint: task.status === 'done' ? '' : task.checkpoint,
		...(task.crashes.length > 0 && task.status !== 'done' && {crashes: task.crashes}),
	};
}

function keepWithinRecord(state: SchedulerState, jobId: JobId, rows: readonly ProgressRow[]): readonly ProgressRow[] {
	const {maxRecordBytes} = state.settings;
	const fitting = dropLongCheckpoints(rows, maxRecordBytes);
	if (fitting !== rows) {
		noteWarning(state, 'checkpoints-not-stored', {jobId, rows: rows.length, maxRecordBytes});
	}

	return fitting;
}
