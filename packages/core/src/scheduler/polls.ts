/** Looks at workers: renews their leases, reads what runs and what ended there. */
import {noteFailure, noteSuccess} from './health.js';
import {advanceOccurrence, finishJob} from './jobs.js';
import {addEffect, noteDecision, noteWarning} from './logging.js';
import {isFinal} from './phases.js';
import {getMaxAttempts} from './queues.js';
import {clearWorker, dropIncarnation, restartWorker} from './registry.js';
import {noteRunTime} from './urgency.js';
import {
	confirmTask, finishTask, getTarget, requestStop, returnTask, stopGang,
} from './tasks.js';
import {
	maxClockDrift, pollRetryMs, pollWaitMs, leaseSlackMs, leaseRenewalThresholdMs, stuckMs, unconfirmedLimitMs, servingPollWaitMs, workerLeaseMs,
} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {EndedRow, RunEnd, RunningRow} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

const maxPollRetryMs = 700;
/** Workers list this many ends at once; there may be more. */
const maxListedEnds = 500;

type PollEnded = Extract<SchedulerEvent, {type: 'poll/ended'}>;

/** Sends the looks that are due. */
export function tickPolls(state: SchedulerState): void {
	const {leadership} = state;
	if (leadership.role !== 'leader') {
		return;
	}

	const isConfirmed = state.now - leadership.confirmedAt < unconfirmedLimitMs && hasReadStartedJobs(state);
	for (const worker of state.workers.values()) {
		expireLease(state, worker);
		if (isConfirmed && isPollDue(state, worker)) {
			sendPoll(state, worker);
		}
	}
}

/**
 * A host that has just taken the lead may know of starts of jobs that it has not read yet. It looks at no worker before
 * it has: it would take the ends of their runs for those of strangers, and acknowledge them. Each job was stored
 * before its first start; one that is not there in a reading that was asked for under this lead has been removed.
 */
export function hasReadStartedJobs({earlyProgress, leadership, intakeCompleteAt}: SchedulerState): boolean {
	return intakeCompleteAt > leadership.leaderSince || ![...earlyProgress.values()].some(({phase}) => !isFinal(phase));
}

function isPollDue(state: SchedulerState, worker: Worker): boolean {
	if (worker.isPollPending || worker.address === '' || state.now < worker.pollDueAt) {
		return false;
	}

	const isNeeded = (!worker.isFenced && worker.isListed) || worker.tasks.size > 0 || worker.unknownRuns.size > 0 || worker.lastAckedEnd < worker.lastStoredEnd;
	// Ends that are read but not stored yet would be listed again at once.
	const isStoring = worker.lastReadEnd > worker.lastStoredEnd && worker.leaseExpiresAt - state.now > leaseRenewalThresholdMs;
	return isNeeded && !isStoring;
}

/** An end of a lease on a worker's clock, `workerLeaseMs` from now. */
export function extendLease(state: SchedulerState, worker: Worker): number | undefined {
	if (!worker.clock) {
		return undefined;
	}

	const age = state.now - worker.clock.at;
	const leaseMs = Math.min(workerLeaseMs, state.settings.maxLeaseMs);
	worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.round(worker.clock.workerMs + age + leaseMs));
	worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, state.now + ((leaseMs + (age * maxClockDrift)) / (1 - maxClockDrift)) + leaseSlackMs);
	return worker.leaseUntilMs;
}

function sendPoll(state: SchedulerState, worker: Worker): void {
	worker.isPollPending = true;
	const hasWork = hasSentTasks(worker);
	const isWatched = hasWork && worker.longRunningTasks > 0;
	addEffect(state, {
		type: 'worker/poll',
		worker: getTarget(worker),
		token: state.leadership.token,
		lastAckedEnd: worker.lastStoredEnd,
		// A lease that may be out of reach must end: the tasks can only go elsewhere after it.
		untilMs: worker.missedPolls === 0 ? extendLease(state, worker) : undefined,
		isExtra: false,
		waitMs: hasWork && worker.isFenced && worker.missedPolls === 0 ? (isWatched ? servingPollWaitMs : pollWaitMs) : 0,
	});
}

/** Looks at once, beside a look that still waits for an end. */
export function sendExtraPoll(state: SchedulerState, worker: Worker): void {
	addEffect(state, {
		type: 'worker/poll', worker: getTarget(worker), token: state.leadership.token, lastAckedEnd: worker.lastStoredEnd, untilMs: undefined, waitMs: 0, isExtra: true,
	});
}

/** True if a start has left for the worker that may still be at work there. */
function hasSentTasks(worker: Worker): boolean {
	return [...worker.tasks.values()].some(task => task.isSent);
}

/** All runs of a worker that was not reached are over once its lease surely has lapsed. */
function expireLease(state: SchedulerState, worker: Worker): void {
	if (state.now <= worker.leaseExpiresAt || !hasSentTasks(worker)) {
		return;
	}

	if (worker.missedPolls === 0 && worker.isPollPending) {
		return;
	}

	noteWarning(state, 'lease-lapsed', {
		workerId: worker.id, tasks: worker.tasks.size, silentMs: Math.round(state.now - worker.lastAnswerAt),
	});
	clearWorker(state, worker);
}

/** Handles the answer to a look. */
export function handlePoll(state: SchedulerState, event: PollEnded): void {
	const worker = state.workers.get(event.workerId);
	if (worker?.bornAt !== event.bornAt) {
		return;
	}

	worker.isPollPending = event.isExtra && worker.isPollPending;
	if (event.outcome !== 'held') {
		handleMissedPoll(state, worker, event);
		return;
	}

	if (event.answerBornAt !== undefined && event.answerBornAt !== worker.bornAt) {
		handleOtherIncarnation(state, worker, event.answerBornAt);
		return;
	}

	if (worker.missedPolls > 2) {
		noteDecision(state, 'worker-regained', {workerId: worker.id, misses: worker.missedPolls});
	}

	worker.missedPolls = 0;
	worker.lastAnswerAt = state.now;
	worker.isFenced = true;
	worker.lastAckedEnd = Math.max(worker.lastAckedEnd, worker.lastStoredEnd);
	worker.pollDueAt = state.now;
	if (event.clockMs !== undefined) {
		worker.clock = {workerMs: event.clockMs, at: state.now};
	}

	readEnds(state, worker, event.ended);
	readRunning(state, worker, event);
	state.needsPlacement = true;
}

function handleMissedPoll(state: SchedulerState, worker: Worker, event: PollEnded): void {
	worker.missedPolls++;
	worker.pollDueAt = state.now + Math.min(pollRetryMs * worker.missedPolls, maxPollRetryMs);
	if (worker.missedPolls === 3) {
		noteWarning(state, 'worker-silent', {workerId: worker.id, outcome: event.outcome, tasks: worker.tasks.size});
	}

	if (event.outcome === 'other-life') {
		noteDecision(state, 'worker-gone', {workerId: worker.id, tasks: worker.tasks.size});
		dropIncarnation(state, worker);
	}
}

function handleOtherIncarnation(state: SchedulerState, worker: Worker, bornAt: number): void {
	if (bornAt > worker.bornAt) {
		restartWorker(state, worker, bornAt);
		return;
	}

	worker.pollDueAt = state.now + pollRetryMs;
}

function readEnds(state: SchedulerState, worker: Worker, rows: readonly EndedRow[]): void {
	for (const row of rows) {
		if (row.number > worker.lastReadEnd) {
			worker.lastReadEnd = row.number;
			readEnd(state, worker, row);
		}
	}

	if (worker.lastReadEnd > worker.lastStoredEnd) {
		state.pendingActions.push({
			type: 'acknowledge-ends', worker, bornAt: worker.bornAt, upTo: worker.lastReadEnd,
		});
	}
}

type EndHandler = (state: SchedulerState, worker: Worker, task: Task) => void;

const endHandlers: Readonly<Record<RunEnd, EndHandler>> = {
	done(state, worker, task) {
		noteSuccess(state, worker);
		noteRunTime(state, task.step.occurrence.job.definition.queue, state.now - task.startedAt, task.step.definition.estimateMs);
		finishTask(state, task);
		advanceOccurrence(state, task.step.occurrence);
	},
	failed(state, worker, task) {
		const {job} = task.step.occurrence;
		const {isLongRunning} = task.step.definition;
		noteFailure(state, worker, job.definition.jobId, 'run failed');
		task.failedOn.add(worker.id);
		returnTask(state, task);
		task.failures += isLongRunning ? 0 : 1;
		if (!isLongRunning && task.failures >= getMaxAttempts(state, job) && !job.isCancelled) {
			finishJob(state, job, 'failed');
		}
	},
	stopped: returnEnded,
	lapsed: returnEnded,
	broken: returnEnded,
	alone: returnEnded,
};

function returnEnded(state: SchedulerState, _worker: Worker, task: Task): void {
	returnTask(state, task);
}

function readEnd(state: SchedulerState, worker: Worker, row: EndedRow): void {
	const task = worker.tasks.get(row.task);
	if (task?.run !== row.run || !task.isSent) {
		return;
	}

	confirmTask(state, task);
	if (row.checkpoint !== '') {
		task.checkpoint = row.checkpoint;
	}

	if (row.how !== 'done') {
		noteDecision(state, 'run-ended', {
			task: task.name, run: row.run, workerId: worker.id, how: row.how, failures: task.failures,
		});
	}

	endHandlers[row.how](state, worker, task);
	stopGang(state, task.step, row.how);
}

function readRunning(state: SchedulerState, worker: Worker, event: PollEnded): void {
	worker.unknownRuns.clear();
	const seen = new Set<string>();
	for (const row of event.running) {
		const task = worker.tasks.get(row.task);
		if (task?.run === row.run && task.isSent) {
			seen.add(row.task);
			readRunningRow(state, worker, task, row);
		} else {
			stopUnknownRun(state, worker, row);
		}
	}

	// The end of a run that is not at work may be among those that were left out.
	if (event.ended.length >= maxListedEnds) {
		return;
	}

	for (const task of worker.tasks.values()) {
		if (task.isSent && !seen.has(task.name) && task.conclusiveAfter < event.sentAt) {
			noteDecision(state, 'run-absent', {task: task.name, run: task.run, workerId: worker.id});
			returnTask(state, task);
		}
	}
}

function stopUnknownRun(state: SchedulerState, worker: Worker, row: RunningRow): void {
	worker.unknownRuns.set(row.task, row);
	worker.pollDueAt = state.now + pollRetryMs;
	addEffect(state, {
		type: 'worker/stop', worker: getTarget(worker), task: row.task, run: row.run, token: state.leadership.token,
	});
}

function readRunningRow(state: SchedulerState, worker: Worker, task: Task, row: RunningRow): void {
	task.isReported = true;
	confirmTask(state, task);
	if (row.checkpoint !== '') {
		task.checkpoint = row.checkpoint;
	}

	task.reading = row.reading ?? 0;
	if (row.percent !== task.percent) {
		task.percent = row.percent;
		task.percentChangedAt = state.now;
		return;
	}

	const {isLongRunning, isGang} = task.step.definition;
	const isStuck = task.status === 'running' && !isLongRunning && !isGang && state.now - task.percentChangedAt > stuckMs;
	if (isStuck) {
		const {jobId} = task.step.occurrence.job.definition;
		noteFailure(state, worker, jobId, 'run stands still');
		noteDecision(state, 'run-stuck', {
			task: task.name, run: task.run, workerId: worker.id, percent: task.percent,
		});
		task.failedOn.add(worker.id);
		requestStop(state, task);
	}
}
