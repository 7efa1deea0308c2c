/**
 * What a leader tells its successor of leases and starts: which workers may hold longer leases than were requested, and which
 * starts are not known to have been answered. A successor counts all other runs by the leases that leaders request.
 *
 * Written with the leader's lease records. Placements that are stored after the latest of them count as unconfirmed, and so do
 * all if there is none, as with a leader of an earlier version.
 */
import type {JobId} from '../types/ids.js';
import {earlierLeaseMs, releasedLeaseMs} from './lease-bounds.js';
import {isFinal} from './phases.js';
import {formatRowKey, listProgressRows, type ProgressParts} from './progress-parts.js';
import type {
	JobProgress, LeaseRecord, OpenLeases, ProgressRow, SteadyMs, TaskName, WorkerId,
} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** The open leases that a host has read last, and what was stored since. */
export type EarlierOpenLeases = {
	/** Until when runs may go on at workers whose leases may be longer than requested. */
	readonly leasesUntil: ReadonlyMap<WorkerId, SteadyMs>;
	readonly unconfirmedTasks: ReadonlySet<TaskName>;
	/** Jobs whose progress has been stored since, with what it was before. */
	readonly changedJobs: Map<JobId, FormerProgress>;
};

/** The progress of a job when the open leases were read. Its rows are looked at only when a task of the job is restored. */
type FormerProgress = {readonly progress: JobProgress | undefined; readonly parts: ProgressParts | undefined; rows: ReadonlyMap<string, ProgressRow> | undefined};

/** With more unconfirmed tasks than this a leader tells nothing: the record must stay small. */
const maxUnconfirmedTasks = 500;
/** With more changed jobs than this the open leases are of no use any more. */
const maxChangedJobs = 20_000;
/** Longer lists would make a log line too long for a large fleet. */
const maxDescribedLeases = 50;

/** What this leader tells a successor; undefined if it does not know it itself yet, or it is too much for a record. */
export function listOpenLeases(state: SchedulerState): OpenLeases | undefined {
	if (hasUnreadJobs(state)) {
		return undefined;
	}

	const unconfirmedTasks = [...new Set([...state.workers.values()].flatMap(worker => listUnconfirmed(state, worker)))];
	if (unconfirmedTasks.length > maxUnconfirmedTasks) {
		return undefined;
	}

	const workers: Array<OpenLeases['workers'][number]> = [];
	for (const [workerId, until] of listLeaseEnds(state)) {
		const leaseMs = Math.ceil(until - state.now);
		// A successor waits for shorter ones in any case.
		if (leaseMs > releasedLeaseMs) {
			workers.push({workerId, leaseMs});
		}
	}

	return {workers, unconfirmedTasks};
}

/** Stored placements of a job that this leader has not read are not known to it. */
function hasUnreadJobs({earlyProgress}: SchedulerState): boolean {
	return [...earlyProgress.values()].some(({phase}) => !isFinal(phase));
}

/** Until when runs may go on because of calls that were meant for former processes: also at workers that only an earlier leader has known. */
function listLeaseEnds(state: SchedulerState): ReadonlyMap<WorkerId, SteadyMs> {
	const ends = new Map(state.leadership.openLeases?.leasesUntil);
	for (const worker of state.workers.values()) {
		ends.set(worker.id, worker.longLeaseUntil);
	}

	return ends;
}

/** Tasks with a start that is not sent yet, or of which it is not known whether the worker's present process has carried it out. */
function listUnconfirmed({now}: SchedulerState, {tasks, lateStarts}: Worker): TaskName[] {
	const assigned = [...tasks.values()].filter(task => !task.isReported).map(({name}) => name);
	return [...assigned, ...lateStarts.filter(({forgetAt}) => forgetAt > now).map(({task}) => task)];
}

/** The workers with long leases, for the log. */
export function describeOpenLeases(openLeases: OpenLeases | undefined): string {
	if (!openLeases) {
		return 'not known';
	}

	const workers = openLeases.workers.slice(0, maxDescribedLeases).map(({workerId, leaseMs}) => `${workerId}:${leaseMs}`);
	return [...workers, `unconfirmed:${openLeases.unconfirmedTasks.length}`].join(' ');
}

/** Keeps what the record of another leader tells. A claim tells nothing: what was read before it stays in force. */
export function noteOpenLeases({leadership, settings, now}: SchedulerState, {holder, openLeases}: LeaseRecord): void {
	if (openLeases && holder !== settings.holder) {
		leadership.openLeases = {
			leasesUntil: new Map(openLeases.workers.map(({workerId, leaseMs}) => [workerId, now + leaseMs])),
			unconfirmedTasks: new Set(openLeases.unconfirmedTasks),
			changedJobs: new Map(),
		};
	}
}

/** Must run for each record of a job's progress that is read, before it is applied. */
export function noteStoredProgress({leadership, jobs, earlyProgress, progressParts}: SchedulerState, jobId: JobId): void {
	const changed = leadership.openLeases?.changedJobs;
	if (!changed || changed.has(jobId)) {
		return;
	}

	const parts = progressParts.get(jobId);
	changed.set(jobId, {progress: jobs.get(jobId)?.progress ?? earlyProgress.get(jobId), parts: parts && new Map(parts), rows: undefined});
	if (changed.size > maxChangedJobs) {
		leadership.openLeases = undefined;
	}
}

/** A full read does not show what was stored after the latest lease record. */
export function dropOpenLeases({leadership}: SchedulerState): void {
	leadership.openLeases = undefined;
}

/** True if an earlier leader has told that the start of a placed task was carried out by the process that its stored row names. */
export function isStartConfirmed({leadership: {openLeases}}: SchedulerState, {name, step}: Task, row: ProgressRow): boolean {
	if (!openLeases || openLeases.unconfirmedTasks.has(name)) {
		return false;
	}

	const {jobId} = step.occurrence.job.definition;
	const former = openLeases.changedJobs.get(jobId);
	return !former || hasSamePlacement(former, row);
}

/** True if a task was already placed as its row tells: another row of the job may have changed. */
function hasSamePlacement(former: FormerProgress, {occurrence, step, index, run, workerId, workerBornAt}: ProgressRow): boolean {
	former.rows ??= new Map(listProgressRows(former.progress, former.parts).map(row => [formatRowKey(row), row]));
	const known = former.rows.get(formatRowKey({occurrence, step, index}));
	return known?.status === 'placed' && known.run === run && known.workerId === workerId && known.workerBornAt === workerBornAt;
}

/** True if a successor that finds the worker silent would wait too long for the end of a run there: a long-running task may not be without a run for that long. */
export function hasTooLongLease({now}: SchedulerState, {longLeaseUntil}: Worker): boolean {
	return longLeaseUntil > now + earlierLeaseMs;
}

/** True if an earlier leader has told that a start of the task is open: it may have been sent more than once. */
export function isStartOpen({leadership: {openLeases}}: SchedulerState, {name}: Task): boolean {
	return openLeases?.unconfirmedTasks.has(name) === true;
}

/** Until when runs may go on at a worker, as an earlier leader has told; 0 if it has told nothing. */
export function getOpenLeaseEnd({leadership: {openLeases}}: SchedulerState, workerId: WorkerId): SteadyMs {
	return openLeases?.leasesUntil.get(workerId) ?? 0;
}
