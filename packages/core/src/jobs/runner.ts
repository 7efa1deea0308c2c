/** Manages running jobs: starts their tasks, renews leases, records outcomes, stops tasks that were cancelled or displaced. */
import {estimateLogTime} from '../planner/leadership.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {jobClasses, type AttemptEnd} from './bodies.js';
import {clockMarginMs} from './validation.js';
import {hasJobProposal, submitJobRecord} from './proposals.js';
import type {Job, JobAttempt} from './state.js';
import type {ListedTask} from './tasks.js';

/** Default lease duration. It bounds how long a job waits for its next attempt after its worker has disappeared. */
export const defaultJobLeaseMs = 30_000;
/** A lease is renewed once less than this share of its duration is left. */
const renewBeforeShare = 2 / 3;
const startRetryMs = 1000;
const stopRetryMs = 1000;
const checkpointWaitMs = 400;
const maximumRenewalsPerRecord = 1000;

/** A running job with its attempt and, if the platform lists it, its task. */
export type RunningJob = {readonly job: Job; readonly current: JobAttempt; readonly task: ListedTask | undefined};

/** The lease duration that this host grants to running jobs. */
export function getJobLeaseMs(state: State): number {
	return state.settings.jobLeaseMs ?? defaultJobLeaseMs;
}

/** All running jobs, joined with the platform's list of tasks and its later answers. */
export function listRunning(state: State): RunningJob[] {
	const tasks = new Map(state.jobRunner.tasks.map(task => [`${task.taskId}#${task.attempt}`, task]));
	return [...state.fleet.jobs.jobs.values()].flatMap(job => {
		const {current} = job;
		return current ? [{job, current, task: mergeTaskAnswer(state, tasks.get(`${job.body.jobId}#${current.attempt}`))}] : [];
	});
}

/** The list is delayed, so an answer that reports the task as ended, or a larger checkpoint, takes precedence over it. */
function mergeTaskAnswer(state: State, task: ListedTask | undefined): ListedTask | undefined {
	const answer = task && state.jobRunner.taskAnswers.get(task.taskId);
	return task && answer?.attempt === task.attempt
		? {...task, state: answer.state === 'running' ? task.state : answer.state, checkpointMs: Math.max(task.checkpointMs, answer.checkpointMs)}
		: task;
}

/** The calls and records that the running jobs need now. */
export function runJobs(state: State, running: readonly RunningJob[], term: number): Effect[] {
	return [
		...running.flatMap(item => runJob(state, item, term)),
		...renewLeases(state, running, term),
	];
}

function runJob(state: State, item: RunningJob, term: number): Effect[] {
	if (!item.task) {
		return startTask(state, item, term);
	}

	if (item.task.state !== 'running') {
		return submitEnd(state, item, chooseEnd(item.job, item.task, item.task.state), term);
	}

	return [...renewTask(item, item.task), ...stopTask(state, item)];
}

/**
 * Starts a task that the platform doesn't list; ends the attempt only when it is certain that it is not running.
 * For an attempt of an earlier term a refusal, or the lack of a call, proves nothing: a paused planner may still send its call.
 * Cancelled jobs are not started.
 */
function startTask(state: State, {job, current}: RunningJob, term: number): Effect[] {
	const logTime = estimateLogTime(state);
	if (logTime > current.leaseUntil + clockMarginMs) {
		return submitEnd(state, {job, current, task: undefined}, 'lapsed', term);
	}

	const known = state.jobRunner.starts.get(job.body.jobId);
	const call = known?.attempt === current.attempt ? known : undefined;
	const isRefused = call?.state === 'refused' && call.callCount === 1;
	const isCancelledBeforeStart = job.isCancelRequested && call === undefined;
	if ((isRefused || isCancelledBeforeStart) && current.term === term) {
		return submitEnd(state, {job, current, task: undefined}, 'unstarted', term);
	}

	if (job.isCancelRequested) {
		return [];
	}

	if (call && (call.state !== 'unknown' || call.retryAt > state.now)) {
		return [];
	}

	return logTime < current.leaseUntil ? callStart(state, job, current, call?.callCount ?? 0) : [];
}

function callStart(state: State, job: Job, current: JobAttempt, callCount: number): Effect[] {
	const {jobId, cores, memoryBytes, declaredRunMs} = job.body;
	state.jobRunner.starts.set(jobId, {
		attempt: current.attempt, callCount: callCount + 1, state: 'calling', retryAt: addMilliseconds(state.now, startRetryMs),
	});
	return [{
		type: 'task/start',
		jobId,
		attempt: current.attempt,
		worker: current.worker,
		leaseUntil: current.leaseUntil,
		cores,
		memoryBytes,
		runMs: declaredRunMs,
		checkpointMs: findCheckpointMs(state, job),
	}];
}

function findCheckpointMs(state: State, job: Job): number {
	const earlier = state.jobRunner.tasks.filter(task => task.taskId === job.body.jobId);
	return job.body.isResumable ? Math.max(0, ...earlier.map(task => task.checkpointMs)) : 0;
}

function submitEnd(state: State, {job, current}: RunningJob, end: AttemptEnd, term: number): Effect[] {
	return submitJobRecord(state, job.body.jobId, 'job-attempt-end', {
		jobId: job.body.jobId, attempt: current.attempt, end, term,
	});
}

const endsByTaskState: Readonly<Record<Exclude<ListedTask['state'], 'running'>, AttemptEnd>> = {
	succeeded: 'succeeded', failed: 'failed', stopped: 'stopped', lapsed: 'stopped', lost: 'lost',
};

/** Depends on the job and the task alone, so that a planner that takes over in between records the same outcome. */
function chooseEnd(job: Job, task: ListedTask, taskState: Exclude<ListedTask['state'], 'running'>): AttemptEnd {
	const hasCheckpoint = job.body.isResumable && task.checkpointMs > 0;
	return taskState === 'stopped' && hasCheckpoint ? 'checkpointed' : endsByTaskState[taskState];
}

/** Extends the worker's lease to the deadline in the log. The log is always extended first. */
function renewTask({job, current}: RunningJob, task: ListedTask): Effect[] {
	return task.leaseUntil < current.leaseUntil
		? [{
			type: 'task/renew', jobId: job.body.jobId, attempt: current.attempt, leaseUntil: current.leaseUntil,
		}]
		: [];
}

/**
 * Stops cancelled and displaced tasks. A resumable task that is displaced is stopped only once it has a newer checkpoint than
 * when the displacement began. Calls may be lost, so checkpoint and stop calls are repeated.
 */
function stopTask(state: State, {job, current, task}: RunningJob): Effect[] {
	const {jobId} = job.body;
	const displacement = state.jobRunner.displaced.get(jobId);
	const isBeingDisplaced = isDisplaced(state, {job, current, task});
	const isDue = (state.jobRunner.stopRetryAt.get(jobId) ?? 0) <= state.now;
	if (!isDue || !(job.isCancelRequested || isBeingDisplaced)) {
		return [];
	}

	state.jobRunner.stopRetryAt.set(jobId, addMilliseconds(state.now, stopRetryMs));
	const needsCheckpoint = job.body.isResumable && !job.isCancelRequested && (task?.checkpointMs ?? 0) <= (displacement?.checkpointMs ?? 0);
	return [{type: needsCheckpoint ? 'task/checkpoint' : 'task/stop', jobId, attempt: current.attempt}];
}

/** Whether a task is already being displaced. */
export function isDisplaced(state: State, {job, current}: RunningJob): boolean {
	return state.jobRunner.displaced.get(job.body.jobId)?.attempt === current.attempt;
}

/** Displaces a task. A resumable task is checkpointed first and stopped once the checkpoint is confirmed; any other is stopped at once and loses its run. */
export function displaceTask(state: State, item: RunningJob): Effect[] {
	const {job, current, task} = item;
	const {jobId, isResumable} = job.body;
	if (isDisplaced(state, item)) {
		return [];
	}

	state.jobRunner.displaced.set(jobId, {attempt: current.attempt, checkpointMs: task?.checkpointMs ?? 0});
	state.jobRunner.stopRetryAt.set(jobId, addMilliseconds(state.now, isResumable ? checkpointWaitMs : stopRetryMs));
	return [{type: isResumable ? 'task/checkpoint' : 'task/stop', jobId, attempt: current.attempt}];
}

/** Sorts the lowest class first, and the newest job first within a class. */
export function compareLowestFirst(a: RunningJob, b: RunningJob): number {
	return jobClasses.indexOf(b.job.body.jobClass) - jobClasses.indexOf(a.job.body.jobClass) || b.job.offset - a.job.offset;
}

function renewLeases(state: State, running: readonly RunningJob[], term: number): Effect[] {
	const logTime = estimateLogTime(state);
	const due = running.filter(({current, task}) => task?.state === 'running' && isRenewalDue(state, current, logTime));
	if (due.length === 0 || hasJobProposal(state, 'leases')) {
		return [];
	}

	return submitJobRecord(state, 'leases', 'job-leases', {
		leaseUntil: addMilliseconds(logTime, getJobLeaseMs(state)),
		attempts: due.slice(0, maximumRenewalsPerRecord).map(({job, current}) => ({jobId: job.body.jobId, attempt: current.attempt})),
		term,
	});
}

function isRenewalDue(state: State, current: JobAttempt, logTime: Instant): boolean {
	return current.leaseUntil - logTime < getJobLeaseMs(state) * renewBeforeShare && current.leaseUntil > logTime;
}
