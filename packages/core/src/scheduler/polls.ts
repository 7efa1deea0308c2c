/** Polls workers: renews their leases and reads their running and ended runs. */
import {noteFailure, noteSuccess} from './health.js';
import {advanceOccurrence, finishJob} from './jobs.js';
import {isConfirmedWithin} from './confirmation.js';
import {addEffect, noteDecision, noteWarning} from './logging.js';
import {isFinal} from './phases.js';
import {getMaxAttempts} from './queues.js';
import {clearWorker, dropIncarnation, restartWorker} from './registry.js';
import {updateRunRatio} from './urgency.js';
import {
	confirmTask, finishTask, getTarget, requestStop, returnTask, stopGang,
} from './tasks.js';
import {
	leaseRenewalThresholdMs, leaseSlackMs, longRunningPollWaitMs, maxClockDrift, pollRetryMs, pollSlackMs, pollWaitMs, retriedPollSlackMs, stuckMs, unconfirmedLimitMs, workerLeaseMs,
} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {EndedRow, RunEnd, RunningRow} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

const maxPollRetryMs = 700;
/** Workers list at most this many run ends per answer; a list of this length may be incomplete. */
const maxListedEnds = 500;

type PollEnded = Extract<SchedulerEvent, {type: 'poll/ended'}>;

/** Expires leases and sends the polls that are due. */
export function tickPolls(state: SchedulerState): void {
	const {leadership} = state;
	if (leadership.role !== 'leader') {
		return;
	}

	const isConfirmed = isConfirmedWithin(state, unconfirmedLimitMs) && hasReadStartedJobs(state);
	for (const worker of state.workers.values()) {
		expireLease(state, worker);
		if (isConfirmed && isPollDue(state, worker)) {
			sendPoll(state, worker);
		}
	}
}

/**
 * True if this leader has read all jobs that may have been started. A new leader may have read the progress of jobs
 * whose definitions it has not read yet. Until it has, it must not poll: it would treat their runs as unknown, stop
 * them and acknowledge their ends. Each job was stored before its first start, so a job that is missing from an intake
 * read that covers the start of this term has been removed.
 */
export function hasReadStartedJobs({earlyProgress, leadership, intakeCompleteAt}: SchedulerState): boolean {
	return intakeCompleteAt > leadership.leaderSince || ![...earlyProgress.values()].some(({phase}) => !isFinal(phase));
}

function isPollDue(state: SchedulerState, worker: Worker): boolean {
	if (worker.isPollPending || worker.address === '' || state.now < worker.pollDueAt) {
		return false;
	}

	const isNeeded = (!worker.isPolledByLeader && worker.isListed) || worker.tasks.size > 0 || worker.unknownRuns.size > 0 || worker.lastAckedEnd < worker.lastStoredEnd;
	// Run ends that are read but not stored are not acknowledged either: another poll would list them again at once.
	const isStoring = worker.lastReadEnd > worker.lastStoredEnd && worker.leaseExpiresAt - state.now > leaseRenewalThresholdMs;
	return isNeeded && !isStoring;
}

/**
 * Extends a worker's lease to `workerLeaseMs` from now, and returns the expiry on the worker's clock; undefined if its
 * clock is not known yet. The upper bound on this host's clock allows for drift since the clock was read.
 */
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
	const hasLongRunningTasks = hasWork && worker.longRunningTasks > 0;
	addEffect(state, {
		type: 'worker/poll',
		worker: getTarget(worker),
		token: state.leadership.token,
		lastAckedEnd: worker.lastStoredEnd,
		// The lease of a worker that may be unreachable is not renewed: its tasks can only move elsewhere after it has expired.
		untilMs: worker.failedPolls === 0 ? extendLease(state, worker) : undefined,
		isExtra: false,
		// A worker that is only slow to answer is heard before its lease lapses.
		slackMs: worker.failedPolls === 0 ? pollSlackMs : retriedPollSlackMs,
		waitMs: hasWork && worker.isPolledByLeader && worker.failedPolls === 0 ? (hasLongRunningTasks ? longRunningPollWaitMs : pollWaitMs) : 0,
	});
}

/** Polls immediately, even while another poll waits for a run to end. */
export function sendExtraPoll(state: SchedulerState, worker: Worker): void {
	addEffect(state, {
		type: 'worker/poll', worker: getTarget(worker), token: state.leadership.token, lastAckedEnd: worker.lastStoredEnd, untilMs: undefined, waitMs: 0, slackMs: pollSlackMs, isExtra: true,
	});
}

/** True if a run whose start was sent may still be active at the worker. */
function hasSentTasks(worker: Worker): boolean {
	return [...worker.tasks.values()].some(task => task.isSent);
}

/** All runs of an unreachable worker are over once its lease has expired on every clock. */
function expireLease(state: SchedulerState, worker: Worker): void {
	if (state.now <= worker.leaseExpiresAt || !hasSentTasks(worker)) {
		return;
	}

	if (worker.failedPolls === 0 && worker.isPollPending) {
		return;
	}

	noteWarning(state, 'lease-lapsed', {
		workerId: worker.id, tasks: worker.tasks.size, silentMs: Math.round(state.now - worker.lastAnswerAt),
	});
	clearWorker(state, worker);
}

/** Handles the answer to a poll. */
export function handlePoll(state: SchedulerState, event: PollEnded): void {
	const worker = state.workers.get(event.workerId);
	if (worker?.bornAt !== event.bornAt) {
		return;
	}

	worker.isPollPending = event.isExtra && worker.isPollPending;
	if (event.outcome !== 'held') {
		handleFailedPoll(state, worker, event);
		return;
	}

	if (event.answerBornAt !== undefined && event.answerBornAt !== worker.bornAt) {
		handleOtherIncarnation(state, worker, event.answerBornAt);
		return;
	}

	if (worker.failedPolls > 2) {
		noteDecision(state, 'worker-regained', {workerId: worker.id, misses: worker.failedPolls});
	}

	worker.failedPolls = 0;
	skipSilence(state, worker);
	worker.lastAnswerAt = state.now;
	worker.isPolledByLeader = true;
	worker.lastAckedEnd = Math.max(worker.lastAckedEnd, worker.lastStoredEnd);
	worker.pollDueAt = state.now;
	if (event.clockMs !== undefined) {
		worker.clock = {workerMs: event.clockMs, at: state.now};
	}

	readEnds(state, worker, event.ended);
	readRunning(state, worker, event);
	state.needsPlacement = true;
}

/** Whether runs made progress while their worker did not report is not known: that time does not count towards a stuck run. */
function skipSilence(state: SchedulerState, worker: Worker): void {
	const silentMs = state.now - worker.lastAnswerAt - pollWaitMs;
	if (silentMs <= 0) {
		return;
	}

	for (const task of worker.tasks.values()) {
		task.percentChangedAt = Math.min(state.now, task.percentChangedAt + silentMs);
	}
}

function handleFailedPoll(state: SchedulerState, worker: Worker, event: PollEnded): void {
	worker.failedPolls++;
	worker.pollDueAt = state.now + Math.min(pollRetryMs * worker.failedPolls, maxPollRetryMs);
	// A worker that answers with an error counts as silent too; `outcome` is that of the latest poll.
	if (worker.failedPolls === 3) {
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
		updateRunRatio(state, task.step.occurrence.job.definition.queue, state.now - task.startedAt, task.step.definition.estimateMs);
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

	// The list of run ends may be incomplete: the end of a run that is not listed as running may be in its missing part.
	if (event.ended.length >= maxListedEnds) {
		return;
	}

	for (const task of worker.tasks.values()) {
		if (!task.isSent || seen.has(task.name)) {
			continue;
		}

		if (task.conclusiveAfter < event.sentAt) {
			noteDecision(state, 'run-absent', {task: task.name, run: task.run, workerId: worker.id});
			returnTask(state, task);
		} else if (task.status === 'placed' && task.unansweredAt <= event.sentAt) {
			// The start has not been carried out, but still may be.
			requestStop(state, task);
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
	if (task.status === 'placed') {
		// Not from the sending of this poll on: answers may overtake each other.
		task.conclusiveAfter = Math.min(task.conclusiveAfter, state.now);
	}

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
		noteFailure(state, worker, jobId, 'run makes no progress');
		noteDecision(state, 'run-stuck', {
			task: task.name, run: task.run, workerId: worker.id, percent: task.percent,
		});
		task.failedOn.add(worker.id);
		requestStop(state, task);
	}
}
