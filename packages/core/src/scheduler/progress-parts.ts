/**
 * Progress of jobs that does not fit into one record of the store. Each part is a record with the rows of successive tasks
 * of one step, and only the parts that have changed are stored again. A job's own record then holds no rows.
 */
import type {JobId} from '../types/ids.js';
import type {JobProgress, PartName, ProgressRow} from './types.js';
import type {
	Occurrence, SchedulerSettings, SchedulerState, StepRun, Task,
} from './state.js';

/** A stored part. Its rows may be decoded, or found to be unreadable, only when they are asked for. */
export type StoredPart = {readonly rows: readonly ProgressRow[]};
/** The stored parts of one job. */
export type ProgressParts = Map<PartName, StoredPart>;

const noParts: ProgressParts = new Map();

/** Upper bound of the size of a row without its checkpoint, in bytes. */
const maxRowBytes = 2000;
/** More rows in a record would make each change of one of them costly to store. */
const maxRowsPerPart = 100;
const maxRowsInOwnRecord = 500;
/** Size of a row's numbers and its status, in bytes. */
const rowOverheadBytes = 80;
/** The same for each loss of a worker in a row. */
const lossOverheadBytes = 50;
/** A character of a string takes at most so many bytes in a record. */
const maxBytesPerCharacter = 3;
/** Share of a record that rows may take; the key and the head of the record take little. */
const rowsShare = 0.9;

/** The part that holds the row of a task. */
export type PartPosition = {readonly occurrence: Occurrence; readonly step: StepRun; readonly group: number};

/** How many rows a part holds at most, however long they are. */
export function computeRowsPerPart({maxRecordBytes}: SchedulerSettings): number {
	return Math.max(1, Math.min(maxRowsPerPart, Math.floor(maxRecordBytes * rowsShare / maxRowBytes)));
}

export function formatPartName({occurrence, step, group}: PartPosition): PartName {
	return `${occurrence.number}.${step.number}.${group}`;
}

/** The parts that hold the rows of these tasks, by their names. */
export function findParts(tasks: Iterable<Task>, rowsPerPart: number): Map<PartName, PartPosition> {
	const positions = new Map<PartName, PartPosition>();
	for (const {step, index} of tasks) {
		const position = {occurrence: step.occurrence, step, group: Math.floor(index / rowsPerPart)};
		positions.set(formatPartName(position), position);
	}

	return positions;
}

/** The tasks whose rows a part holds. */
export function listTasksOfPart({step, group}: PartPosition, rowsPerPart: number): readonly Task[] {
	return step.tasks.slice(group * rowsPerPart, (group + 1) * rowsPerPart);
}

/** The names of the stored parts of a job. */
export function listPartNames({progressParts}: SchedulerState, jobId: JobId): PartName[] {
	return [...(progressParts.get(jobId) ?? noParts).keys()];
}

/** Applies a stored part, or its removal. */
export function applyPart({progressParts}: SchedulerState, jobId: JobId, part: PartName, stored: StoredPart | undefined): void {
	const parts = progressParts.get(jobId);
	if (stored) {
		progressParts.set(jobId, (parts ?? new Map<PartName, StoredPart>()).set(part, stored));
		return;
	}

	parts?.delete(part);
	if (parts?.size === 0) {
		progressParts.delete(jobId);
	}
}

/** All stored rows of a job. The rows of a part go before those of the job's own record, which may have been stored earlier. */
export function listStoredRows({progressParts}: SchedulerState, jobId: JobId, progress: JobProgress | undefined): ProgressRow[] {
	return listProgressRows(progress, progressParts.get(jobId));
}

/** Identifies the row of a task within its job. */
export function formatRowKey({occurrence, step, index}: Pick<ProgressRow, 'occurrence' | 'step' | 'index'>): string {
	return `${occurrence}.${step}.${index}`;
}

/** The rows of a job's own record and of its parts. */
export function listProgressRows(progress: JobProgress | undefined, parts: ProgressParts | undefined): ProgressRow[] {
	if (!parts) {
		return [...progress?.rows ?? []];
	}

	const rows = new Map<string, ProgressRow>();
	for (const row of [...progress?.rows ?? [], ...[...parts.values()].flatMap(part => part.rows)]) {
		rows.set(formatRowKey(row), row);
	}

	return [...rows.values()];
}

function measureText(text: string): number {
	return text.length * maxBytesPerCharacter;
}

function measureRow({workerId, checkpoint, crashes = []}: ProgressRow): number {
	const losses = crashes.reduce((sum, crash) => sum + lossOverheadBytes + measureText(crash.workerId), 0);
	return rowOverheadBytes + measureText(workerId) + measureText(checkpoint) + losses;
}

function measureExcess(rows: readonly ProgressRow[], maxRecordBytes: number): number {
	return rows.reduce((sum, row) => sum + measureRow(row), 0) - (maxRecordBytes * rowsShare);
}

/** True if a job's own record can hold these rows. */
export function doRowsFit(rows: readonly ProgressRow[], maxRecordBytes: number): boolean {
	return rows.length <= maxRowsInOwnRecord && measureExcess(rows, maxRecordBytes) <= 0;
}

/** Leaves out the longest checkpoints of rows that would not fit into one record with them. Their tasks would start anew if their worker and the leader were lost. */
export function dropLongCheckpoints(rows: readonly ProgressRow[], maxRecordBytes: number): readonly ProgressRow[] {
	let excess = measureExcess(rows, maxRecordBytes);
	if (excess <= 0) {
		return rows;
	}

	const dropped = new Set<ProgressRow>();
	for (const row of rows.toSorted((a, b) => b.checkpoint.length - a.checkpoint.length)) {
		if (excess <= 0) {
			break;
		}

		dropped.add(row);
		excess -= measureText(row.checkpoint);
	}

	return rows.map(row => dropped.has(row) ? {...row, checkpoint: ''} : row);
}
