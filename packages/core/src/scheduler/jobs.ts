/** Lifecycle of jobs: accepted, activated on the leader, finished or cancelled, and removed. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {addArrivedWork} from './demand.js';
import {applyRefusals, computeSentAt} from './first-sends.js';
import {noteArrival} from './load-view.js';
import {noteDecision} from './logging.js';
import {hasAssignedTasks, restoreRows, stopRestored} from './job-restore.js';
import {isFinal} from './phases.js';
import {addOccurrence, createOccurrenceSet} from './occurrence-ranges.js';
import {hasQuotaForWork} from './quotas.js';
import {listStoredRows} from './progress-parts.js';
import {dropJob, isShortened} from './retention.js';
import {openDueOccurrences} from './schedules.js';
import {takeArrival} from './shares.js';
import {
	detachTask, finishTask, markChanged, requestStop, updateOpenStep,
} from './tasks.js';
import type {IntakeRecord, JobDefinition} from './types.js';
import type {
	Job, LiveJob, Occurrence, SchedulerState,
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

	for (const {assignedTasks} of job.live.occurrences.values()) {
		if (assignedTasks > 0) {
			return;
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
	if (isShortened(job.definition) || (isOver && job.phase === 'completed')) {
		return;
	}

	const rows = listStoredRows(state, job.definition.jobId, progress);
	if (isOver && !hasAssignedTasks(rows)) {
		return;
	}

	const live: LiveJob = {
		occurrences: new Map(), finishedOccurrences: createOccurrenceSet(progress?.finishedOccurrences), nextOccurrence: 0, hasStarted: job.phase === 'running', phase: job.phase, finishedAt: isOver && progress ? progress.finishedAt : 0 as Instant, rowsPerPart: progress?.rowsPerPart, changedTasks: new Set(),
	};
	job.live = live;
	state.liveJobs.add(job);
	restoreRows(state, job, live, rows);
	if (isOver) {
		stopRestored(live);
		return;
	}

	for (const occurrence of live.occurrences.values()) {
		finishRestored(state, occurrence);
	}

	openDueOccurrences(state, job, 0);
}

/** Of changes that take several appends only the first may be stored: some members of a gang that has ended, or the last task of an occurrence without its end. */
function finishRestored(state: SchedulerState, occurrence: Occurrence): void {
	for (const step of occurrence.steps) {
		const member = step.tasks.find(({status}) => status === 'done');
		if (member && step.definition.isGang) {
			finishTask(state, member);
		}
	}

	advanceOccurrence(state, occurrence);
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
	addOccurrence(job.live.finishedOccurrences, occurrence.number);
	markOccurrenceChanged(state, occurrence);
	if (job.live.finishedOccurrences.size >= Math.max(1, job.definition.runCount)) {
		finishJob(state, job, 'completed');
	}
}

/** The rows of an occurrence that has ended are not stored any more. */
function markOccurrenceChanged(state: SchedulerState, {steps}: Occurrence): void {
	for (const {tasks} of steps) {
		for (const task of tasks) {
			markChanged(state, task);
		}
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
