/** Polls workers, and tells those that do not answer from those that do. */
import {
	chooseAcknowledgement, isAcknowledgementDue, noteUnansweredAcknowledgement, readAcknowledged, readHiddenEnds,
} from './acknowledgements.js';
import {isConfirmedWithin} from './confirmation.js';
import {addEffect, noteDecision, noteWarning} from './logging.js';
import {isFinal} from './phases.js';
import {
	expireLease, extendLease, noteFirstAnswer,
} from './leases.js';
import {sendExtraPoll} from './extra-polls.js';
import {rejectBirth} from './reported-births.js';
import {dropIncarnation, restartWorker} from './registry.js';
import {readEnds, readRunning, skipSilence} from './reports.js';
import {noteAnswerTime} from './call-window.js';
import {getTarget, hasSentTasks} from './tasks.js';
import {
	clockRefreshMs, leaseHorizonMs, leaseRenewalThresholdMs, longRunningPollWaitMs, never, pollRetryMs, pollSlackMs, pollWaitMs, retriedPollSlackMs,
} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {WorkerId} from './types.js';
import type {SchedulerState, Worker} from './state.js';

const maxPollRetryMs = 700;
/** A first poll without an answer for this long waits for its worker rather than for this host. */
const firstPollWaitMs = 400;

type PollEnded = Extract<SchedulerEvent, {type: 'poll/ended'}>;

/**
 * Expires leases and sends the polls that are due. An event that concerns one worker, `workerId`, makes no poll of another one
 * due, and there are very many such events: all workers are looked at with the others, such as those of the clock.
 */
export function tickPolls(state: SchedulerState, workerId?: WorkerId): void {
	const {leadership} = state;
	if (leadership.role !== 'leader') {
		return;
	}

	const isConfirmed = isConfirmedWithin(state, leaseHorizonMs) && hasReadStartedJobs(state);
	const firstPolls: Worker[] = [];
	for (const worker of takeWorkersToCheck(state, workerId)) {
		expireLease(state, worker);
		if (!isConfirmed || !isPollDue(state, worker)) {
			continue;
		}

		if (isFirstPoll(worker)) {
			firstPolls.push(worker);
		} else {
			sendPoll(state, worker);
		}
	}

	sendFirstPolls(state, firstPolls);
}

function takeWorkersToCheck(state: SchedulerState, workerId: WorkerId | undefined): Iterable<Worker> {
	const {workers, startedWorkers} = state;
	if (workerId === undefined || state.callWindow.hasWaitingPolls) {
		startedWorkers.clear();
		return workers.values();
	}

	const ids = [...startedWorkers.add(workerId)];
	startedWorkers.clear();
	return ids.flatMap(id => workers.get(id) ?? []);
}

/** A new leader polls all workers: more than its host may be able to send at once. Those with runs come first, as their leases go on. */
function sendFirstPolls(state: SchedulerState, workers: readonly Worker[]): void {
	state.callWindow.hasWaitingPolls = false;
	if (workers.length === 0) {
		return;
	}

	const left = state.callWindow.limit - countLatestFirstPolls(state);
	const sorted = workers.toSorted((a, b) => Number(b.tasks.size > 0) - Number(a.tasks.size > 0));
	for (const worker of sorted.slice(0, Math.max(0, left))) {
		sendPoll(state, worker);
	}

	state.callWindow.hasWaitingPolls = left < workers.length;
	state.callWindow.hasHeldBack ||= state.callWindow.hasWaitingPolls;
}

/** First polls without an answer, sent so lately that they may still wait at this host. */
function countLatestFirstPolls({workers, now}: SchedulerState): number {
	let count = 0;
	for (const worker of workers.values()) {
		count += worker.isPollPending && isFirstPoll(worker) && now - worker.pollSentAt < firstPollWaitMs ? 1 : 0;
	}

	return count;
}

function isFirstPoll({isPolledByLeader, failedPolls}: Worker): boolean {
	return !isPolledByLeader && failedPolls === 0;
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

	const isNeeded = (worker.isListed && (!worker.isPolledByLeader || hasOldClock(state, worker))) || hasSentTasks(worker) || worker.unknownRuns.size > 0 || isAcknowledgementDue(worker);
	// Run ends that are read but not stored are not acknowledged either: another poll would list them again at once.
	const isStoring = worker.lastReadEnd > worker.lastStoredEnd && worker.leaseExpiresAt - state.now > leaseRenewalThresholdMs;
	return isNeeded && !isStoring;
}

function hasOldClock({now}: SchedulerState, {clock}: Worker): boolean {
	return clock !== undefined && now - clock.at > clockRefreshMs;
}

function sendPoll(state: SchedulerState, worker: Worker): void {
	worker.isPollPending = true;
	worker.pollSentAt = state.now;
	worker.sentAck = chooseAcknowledgement(state, worker);
	// The lease of a worker that may be unreachable is not renewed: its tasks can only move elsewhere after it has expired.
	const untilMs = worker.failedPolls === 0 ? extendLease(state, worker) : undefined;
	worker.isLeasePollPending = untilMs !== undefined;
	const hasWork = hasSentTasks(worker);
	const hasLongRunningTasks = hasWork && worker.longRunningTasks > 0;
	addEffect(state, {
		type: 'worker/poll',
		worker: getTarget(worker),
		token: state.leadership.token,
		acknowledgedEnd: worker.sentAck,
		untilMs,
		isExtra: false,
		// A worker that is only slow to answer is heard before its lease lapses.
		slackMs: worker.failedPolls === 0 ? pollSlackMs : retriedPollSlackMs,
		waitMs: hasWork && canWait(worker) ? (hasLongRunningTasks ? longRunningPollWaitMs : pollWaitMs) : 0,
	});
}

/** Whether a poll may wait at the worker for a run to end. */
function canWait(worker: Worker): boolean {
	return worker.isPolledByLeader && worker.failedPolls === 0 && !isAcknowledgementDue(worker);
}

/** Handles the answer to a poll. */
export function handlePoll(state: SchedulerState, event: PollEnded): void {
	const worker = state.workers.get(event.workerId);
	if (worker?.bornAt !== event.bornAt) {
		return;
	}

	// A worker that does not answer its first poll may be out of reach: that says nothing of this host.
	if (!event.isExtra && isFirstPoll(worker) && event.outcome !== 'unknown') {
		noteAnswerTime(state, event.sentAt);
	}

	worker.isPollPending = event.isExtra && worker.isPollPending;
	if (event.outcome !== 'held') {
		handleFailedPoll(state, worker, event);
		return;
	}

	if (event.answerBornAt !== worker.bornAt) {
		handleOtherIncarnation(state, worker, event);
		return;
	}

	if (worker.failedPolls > 2) {
		noteDecision(state, 'worker-regained', {workerId: worker.id, misses: worker.failedPolls});
	}

	rejectBirth(state, worker, event.sentAt);
	skipSilence(state, worker);
	worker.failedPolls = 0;
	worker.lastAnswerAt = state.now;
	worker.isPolledByLeader = true;
	noteFirstAnswer(state, worker, event.clockMs);
	readAcknowledged(worker, event);
	worker.pollDueAt = state.now;
	if (event.clockMs !== undefined) {
		worker.clock = {workerMs: event.clockMs, sentAt: event.sentAt, at: state.now};
	}

	readEnds(state, worker, event.ended);
	readHiddenEnds(worker, event.sentAt, event.ended);
	readRunning(state, worker, event);
	state.needsPlacement = true;
}

function handleFailedPoll(state: SchedulerState, worker: Worker, event: PollEnded): void {
	worker.silentSince = worker.failedPolls === 0 ? state.now : worker.silentSince;
	if (!event.isExtra && worker.isLeasePollPending) {
		// The next incarnation may have carried it out just now.
		worker.leaseCallAt = state.now;
		worker.isLeasePollPending = false;
	}

	worker.failedPolls++;
	if (!event.isExtra) {
		noteUnansweredAcknowledgement(state, worker);
	}

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

/** Lists that do not tell whose they are, or that are older than what is known, count as no answer: taken for the known incarnation, runs of the next one would be lost with it. */
function handleOtherIncarnation(state: SchedulerState, worker: Worker, event: PollEnded): void {
	const {answerBornAt, clockMs} = event;
	if (answerBornAt !== undefined && answerBornAt > worker.bornAt) {
		restartWorker(state, worker, answerBornAt, clockMs === undefined ? never : state.now - clockMs);
		return;
	}

	noteDecision(state, 'poll-of-unknown-process', {workerId: worker.id, bornAt: worker.bornAt, answerBornAt});
	handleFailedPoll(state, worker, event);
}

/**
 * Handles an answer that shows by its clock that an unknown incarnation gave it: another poll tells when that was born.
 * Its lease may last as long as workers accept, as the expiry it was sent lies far ahead on its clock.
 */
export function noteNextIncarnation(state: SchedulerState, worker: Worker, clockMs: number | undefined): void {
	noteDecision(state, 'worker-restart-seen', {
		workerId: worker.id, bornAt: worker.bornAt, clockMs, formerClockMs: worker.clock?.workerMs, leaseUntilMs: worker.leaseUntilMs, tasks: worker.tasks.size,
	});
	worker.clock = undefined;
	worker.isPolledByLeader = false;
	worker.leaseCallAt = state.now;
	// Otherwise the next poll is due now.
	if (worker.isPollPending) {
		sendExtraPoll(state, worker);
	}
}
