/** Lifecycle of jobs: accepted, activated on the leader, finished or cancelled, and removed. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {addArrivedWork} from './demand.js';
import {applyRefusals, computeSentAt} from './first-sends.js';
import {noteArrival} from './load-view.js';
import {noteDecision} from './logging.js';
import {isFinal} from './phases.js';
import {getOccurrence} from './occurrences.js';
import {hasQuotaForWork} from './quotas.js';
import {ensureWorker} from './registry.js';
import {dropJob, isShortened} from './retention.js';
import {takeArrival} from './shares.js';
import {
	attachTask, detachTask, requestStop, updateOpenStep,
} from './tasks.js';
import {never} from './timing.js';
import type {
	IntakeRecord, JobDefinition, JobProgress, ProgressRow,
} from './types.js';
import type {
	Job, LiveJob, Occurrence, SchedulerState, Task,
} from './state.js';

/** Adds an accepted job. Later records with the same id are ignored, but for the shortened definition of a job that has ended. */
export function addJob(state: SchedulerState, definition: JobDefinition): void {
	const known = state.jobs.get(definition.jobId);
	if (known) {
		known.definition = isShortened(definition) && !known.live ? definition : known.definition;
		return;
	}

	const progress = state.earlyProgress.get(definition.jobId);
	state.earlyProgress.delete(definition.jobId);
	const job: Job = {
		definition, phase: progress?.phase ?? 'queued', isCancelled: state.earlyCancels.delete(definition.jobId), progress, acceptedAt: state.now, sentAt: computeSentAt(state, definition.jobId, definition.sentAt), isExcess: takeArrival(state, definition), live: undefined,
	};
	state.jobs.set(definition.jobId, job);
	if (state.leadership.role === 'leader') {
		if (hasQuotaForWork(state, job)) {
			addArrivedWork(state, job);
		} else {
			job.isWorkDeferred = true;
		}

		noteArrival(state, job);
		activateJob(state, job);
	}
}

/** Marks a job as cancelled and stops its runs. */
export function cancelJob(state: SchedulerState, jobId: JobId): void {
	const job = state.jobs.get(jobId);
	if (!job) {
		state.earlyCancels.add(jobId);
		return;
	}

	if (job.isCancelled) {
		return;
	}

	job.isCancelled = true;
	if (job.live) {
		noteDecision(state, 'job-cancelled', {jobId, phase: job.live.phase});
		stopJob(state, job);
	}
}

/** Applies a record of the intake stream, which entry hosts write. */
export function applyIntake(state: SchedulerState, record: IntakeRecord): void {
	const appliers: {[K in IntakeRecord['type']]: (record: Extract<IntakeRecord, {type: K}>) => void} = {
		job({job}) {
			addJob(state, job);
		},
		cancel({jobId}) {
			cancelJob(state, jobId);
		},
		'job-removed'({jobId}) {
			dropJob(state, jobId);
		},
		'cancel-removed'({jobId}) {
			state.earlyCancels.delete(jobId);
		},
		refusals({holder, jobs}) {
			applyRefusals(state, holder, jobs);
		},
		'refusals-removed'({holder}) {
			state.refusalRecords.delete(holder);
		},
	};
	(appliers[record.type] as (record: IntakeRecord) => void)(record);
}

/** Stops all runs of a job that is cancelled or has finished. */
export function stopJob(state: SchedulerState, job: Job): void {
	for (const occurrence of job.live?.occurrences.values() ?? []) {
		for (const step of occurrence.steps) {
			updateOpenStep(state, step);
			for (const task of step.tasks) {
				requestStop(state, task);
			}
		}
	}

	dropLiveJobIfEnded(state, job);
}

/** Drops the leader's state of a cancelled or finished job once none of its tasks is assigned to a worker. */
export function dropLiveJobIfEnded(state: SchedulerState, job: Job): void {
	if (!job.live || (!job.isCancelled && !isFinal(job.phase))) {
		return;
	}

	for (const occurrence of job.live.occurrences.values()) {
		for (const step of occurrence.steps) {
			if (step.tasks.some(task => task.worker !== undefined)) {
				return;
			}
		}
	}

	for (const occurrence of job.live.occurrences.values()) {
		for (const step of occurrence.steps) {
			state.openSteps.delete(step);
		}
	}

	state.liveJobs.delete(job);
	job.live = undefined;
}

/** Builds the leader's state of a job from its stored progress. Cancelled and failed jobs have one only while runs of theirs may go on. */
export function activateJob(state: SchedulerState, job: Job): void {
	const {progress} = job;
	const isOver = job.isCancelled || isFinal(job.phase);
	if (isShortened(job.definition) || (isOver && (job.phase === 'completed' || !hasAssignedTasks(progress)))) {
		return;
	}

	const live: LiveJob = {
		occurrences: new Map(), finishedOccurrences: new Set(progress?.finishedOccurrences), nextOccurrence: 0, hasStarted: job.phase === 'running', phase: job.phase, finishedAt: isOver && progress ? progress.finishedAt : 0 as Instant,
	};
	job.live = live;
	state.liveJobs.add(job);
	restoreRows(state, job, live, progress);
	if (isOver) {
		stopRestored(live);
	} else {
		openDueOccurrences(state, job);
	}
}

function hasAssignedTasks(progress: JobProgress | undefined): boolean {
	return progress?.rows.some(({status}) => status === 'placed') ?? false;
}

/** The runs of a cancelled or failed job may go on: they count for their account until they have certainly ended, and are stopped with the next clock event. */
function stopRestored(live: LiveJob): void {
	for (const task of [...live.occurrences.values()].flatMap(({steps}) => steps).flatMap(({tasks}) => tasks)) {
		if (task.status === 'placed') {
			task.status = 'stopping';
			task.conclusiveAfter = never;
			task.stopDueAt = 0;
		}
	}
}

/** Opens the occurrences of a job that are due. */
export function openDueOccurrences(state: SchedulerState, job: Job): void {
	const {live, definition} = job;
	if (!live) {
		return;
	}

	const total = Math.max(1, definition.runCount);
	while (live.nextOccurrence < total && isDue(state, definition, live.nextOccurrence)) {
		const number = live.nextOccurrence++;
		if (!live.finishedOccurrences.has(number)) {
			openOccurrence(state, getOccurrence(state, job, live, number));
		}
	}
}

function openOccurrence(state: SchedulerState, occurrence: Occurrence): void {
	occurrence.isDue = true;
	for (const step of occurrence.steps) {
		updateOpenStep(state, step);
	}
}

function isDue(state: SchedulerState, definition: JobDefinition, occurrence: number): boolean {
	// A run count of 0: runs once, immediately.
	return definition.runCount === 0 || state.wallNow >= definition.firstRunAt + (occurrence * definition.intervalMs);
}

/** Restores every occurrence that has begun, even if it is not due by this host's clock: the former leader's clock may have been ahead. */
function restoreRows(state: SchedulerState, job: Job, live: LiveJob, progress: JobProgress | undefined): void {
	for (const row of progress?.rows ?? []) {
		if (live.finishedOccurrences.has(row.occurrence)) {
			continue;
		}

		const task = getOccurrence(state, job, live, row.occurrence).steps[row.step]?.tasks[row.index];
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
		attachTask(state, ensureWorker(state, row.workerId, row.workerBornAt), task);
	}
}

/** Called after a task is done: opens the steps that depend on it, and completes the occurrence and the job when all steps are done. */
export function advanceOccurrence(state: SchedulerState, occurrence: Occurrence): void {
	for (const step of occurrence.steps) {
		updateOpenStep(state, step);
	}

	const {job} = occurrence;
	if (!job.live || occurrence.steps.some(step => step.doneCount < step.definition.count)) {
		return;
	}

	occurrence.isDone = true;
	job.live.occurrences.delete(occurrence.number);
	job.live.finishedOccurrences.add(occurrence.number);
	if (job.live.finishedOccurrences.size >= Math.max(1, job.definition.runCount)) {
		finishJob(state, job, 'completed');
	}
}

/** Moves a job to its final phase; callers see the phase once it is stored. */
export function finishJob(state: SchedulerState, job: Job, phase: 'completed' | 'failed'): void {
	if (!job.live || isFinal(job.live.phase)) {
		return;
	}

	job.live.phase = phase;
	job.live.finishedAt = state.wallNow;
	state.dirtyJobs.add(job);
	noteDecision(state, 'job-ended', {jobId: job.definition.jobId, phase, tookMs: Math.round(state.now - job.acceptedAt)});
	stopJob(state, job);
}

/** Drops the leader's state of all jobs when this host loses the leadership. */
export function deactivateJobs(state: SchedulerState): void {
	for (const job of state.liveJobs) {
		for (const occurrence of job.live?.occurrences.values() ?? []) {
			for (const step of occurrence.steps) {
				for (const task of step.tasks) {
					detachTask(state, task);
				}
			}
		}

		job.live = undefined;
	}

	state.liveJobs.clear();
	state.openSteps.clear();
	state.dirtyJobs.clear();
	state.suspects.clear();
}
