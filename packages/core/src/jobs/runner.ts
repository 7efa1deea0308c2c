/** Brings running jobs on: starts their tasks, renews leases, writes down ends, stops what was cancelled or must give way. */
import {estimateLogTime} from '../planner/leadership.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {jobClasses, type AttemptEnd} from './bodies.js';
import {clockMarginMs} from './validation.js';
import {hasJobProposal, publishJobRecord} from './proposals.js';
import type {Job, JobAttempt} from './state.js';
import type {ListedTask} from './tasks.js';

/** A lease is so long; a job of a holder that vanished waits no longer for its next attempt. */
export const defaultJobLeaseMs = 30_000;
/** A lease with less than this share of its length left is renewed. */
const renewBeforeShare = 2 / 3;
const startRetryMs = 1000;
const stopRetryMs = 1000;
const checkpointWaitMs = 400;
const renewalsInOneRecord = 1000;

/** A running job with its attempt and, if the platform lists it, its task. */
export type RunningJob = {readonly job: Job; readonly current: JobAttempt; readonly task: ListedTask | undefined};

/** How long a lease of a running job is on this host. */
export function getJobLeaseMs(state: State): number {
	return state.settings.jobLeaseMs ?? defaultJobLeaseMs;
}

/** All running jobs, joined with the platform's list of tasks and what it told since. */
export function listRunning(state: State): RunningJob[] {
	const tasks = new Map(state.jobRunner.tasks.map(task => [`${task.taskId}#${task.attempt}`, task]));
	return [...state.fleet.jobs.jobs.values()].flatMap(job => {
		const {current} = job;
		return current ? [{job, current, task: mergeTold(state, tasks.get(`${job.body.jobId}#${current.attempt}`))}] : [];
	});
}

/** The list lags, but a task that ended stays so, and a checkpoint is not lost. */
function mergeTold(state: State, task: ListedTask | undefined): ListedTask | undefined {
	const told = task && state.jobRunner.told.get(task.taskId);
	return task && told?.attempt === task.attempt
		? {...task, state: told.state === 'running' ? task.state : told.state, checkpointMs: Math.max(task.checkpointMs, told.checkpointMs)}
		: task;
}

/** What each running job needs now. */
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
		return publishEnd(state, item, chooseEnd(item.job, item.task, item.task.state), term);
	}

	return [...renewTask(item, item.task), ...stopTask(state, item)];
}

/**
 * Starts a task that the platform doesn't list; gives the attempt up only when that is safe.
 * A refusal, or no call yet, tells nothing of an attempt of an earlier term: a paused planner may still send its call.
 * What was cancelled is not started any more.
 */
function startTask(state: State, {job, current}: RunningJob, term: number): Effect[] {
	const logTime = estimateLogTime(state);
	if (logTime > current.leaseUntil + clockMarginMs) {
		return publishEnd(state, {job, current, task: undefined}, 'lapsed', term);
	}

	const known = state.jobRunner.starts.get(job.body.jobId);
	const call = known?.attempt === current.attempt ? known : undefined;
	const isRefused = call?.state === 'refused' && call.calls === 1;
	const isCancelledBefore = job.isCancelRequested && call === undefined;
	if ((isRefused || isCancelledBefore) && current.term === term) {
		return publishEnd(state, {job, current, task: undefined}, 'unstarted', term);
	}

	if (job.isCancelRequested) {
		return [];
	}

	if (call && (call.state !== 'unknown' || call.callAt > state.now)) {
		return [];
	}

	return logTime < current.leaseUntil ? callStart(state, job, current, call?.calls ?? 0) : [];
}

function callStart(state: State, job: Job, current: JobAttempt, calls: number): Effect[] {
	const {jobId, cores, memoryBytes, declaredRunMs} = job.body;
	state.jobRunner.starts.set(jobId, {
		attempt: current.attempt, calls: calls + 1, state: 'calling', callAt: addMilliseconds(state.now, startRetryMs),
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
		checkpointMs: findCheckpoint(state, job),
	}];
}

function findCheckpoint(state: State, job: Job): number {
	const earlier = state.jobRunner.tasks.filter(task => task.taskId === job.body.jobId);
	return job.body.isResumable ? Math.max(0, ...earlier.map(task => task.checkpointMs)) : 0;
}

function publishEnd(state: State, {job, current}: RunningJob, end: AttemptEnd, term: number): Effect[] {
	return publishJobRecord(state, job.body.jobId, 'job-attempt-end', {
		jobId: job.body.jobId, attempt: current.attempt, end, term,
	});
}

const endsByTaskState: Readonly<Record<Exclude<ListedTask['state'], 'running'>, AttemptEnd>> = {
	succeeded: 'succeeded', failed: 'failed', stopped: 'stopped', lapsed: 'stopped', lost: 'lost',
};

/** Judged by the task alone, so that a planner who takes over in between comes to the same end. */
function chooseEnd(job: Job, task: ListedTask, taskState: Exclude<ListedTask['state'], 'running'>): AttemptEnd {
	const hasCheckpoint = job.body.isResumable && task.checkpointMs > 0;
	return taskState === 'stopped' && hasCheckpoint ? 'checkpointed' : endsByTaskState[taskState];
}

/** The worker's lease follows the log's, never the other way. */
function renewTask({job, current}: RunningJob, task: ListedTask): Effect[] {
	return task.leaseUntil < current.leaseUntil
		? [{
			type: 'task/renew', jobId: job.body.jobId, attempt: current.attempt, leaseUntil: current.leaseUntil,
		}]
		: [];
}

/** A task that must give way is stopped only once a checkpoint newer than that is seen; calls may be lost, so both are repeated. */
function stopTask(state: State, {job, current, task}: RunningJob): Effect[] {
	const {jobId} = job.body;
	const displacement = state.jobRunner.displaced.get(jobId);
	const mustGiveWay = isDisplaced(state, {job, current, task});
	const isDue = (state.jobRunner.stopAgainAt.get(jobId) ?? 0) <= state.now;
	if (!isDue || !(job.isCancelRequested || mustGiveWay)) {
		return [];
	}

	state.jobRunner.stopAgainAt.set(jobId, addMilliseconds(state.now, stopRetryMs));
	const needsCheckpoint = job.body.isResumable && !job.isCancelRequested && (task?.checkpointMs ?? 0) <= (displacement?.checkpointMs ?? 0);
	return [{type: needsCheckpoint ? 'task/checkpoint' : 'task/stop', jobId, attempt: current.attempt}];
}

/** Whether a task already gives way. */
export function isDisplaced(state: State, {job, current}: RunningJob): boolean {
	return state.jobRunner.displaced.get(job.body.jobId)?.attempt === current.attempt;
}

/** Makes a task give way. A resumable one is checkpointed now and stopped once that is seen; another one is stopped and loses its run. */
export function displaceTask(state: State, item: RunningJob): Effect[] {
	const {job, current, task} = item;
	const {jobId, isResumable} = job.body;
	if (isDisplaced(state, item)) {
		return [];
	}

	state.jobRunner.displaced.set(jobId, {attempt: current.attempt, checkpointMs: task?.checkpointMs ?? 0});
	state.jobRunner.stopAgainAt.set(jobId, addMilliseconds(state.now, isResumable ? checkpointWaitMs : stopRetryMs));
	return [{type: isResumable ? 'task/checkpoint' : 'task/stop', jobId, attempt: current.attempt}];
}

/** The lowest class first, the newest first within a class. */
export function compareLowestFirst(a: RunningJob, b: RunningJob): number {
	return jobClasses.indexOf(b.job.body.jobClass) - jobClasses.indexOf(a.job.body.jobClass) || b.job.offset - a.job.offset;
}

function renewLeases(state: State, running: readonly RunningJob[], term: number): Effect[] {
	const logTime = estimateLogTime(state);
	const due = running.filter(({current, task}) => task?.state === 'running' && isRenewalDue(state, current, logTime));
	if (due.length === 0 || hasJobProposal(state, 'leases')) {
		return [];
	}

	return publishJobRecord(state, 'leases', 'job-leases', {
		leaseUntil: addMilliseconds(logTime, getJobLeaseMs(state)),
		attempts: due.slice(0, renewalsInOneRecord).map(({job, current}) => ({jobId: job.body.jobId, attempt: current.attempt})),
		term,
	});
}

function isRenewalDue(state: State, current: JobAttempt, logTime: Instant): boolean {
	return current.leaseUntil - logTime < getJobLeaseMs(state) * renewBeforeShare && current.leaseUntil > logTime;
}
