/** Reads what workers report of their runs: which ended and how, which go on, and which are gone. */
import {noteUncertainWorker} from './account-use.js';
import {hasOpenStart, queueStart} from './call-window.js';
import {noteAtWork, noteFailure, noteSuccess} from './health.js';
import {advanceOccurrence, finishJob} from './jobs.js';
import {addEffect, noteDecision} from './logging.js';
import {findTask} from './occurrences.js';
import {isJobOpen} from './phases.js';
import {getMaxAttempts} from './queues.js';
import {noteLateStart} from './registry.js';
import {
	confirmTask, finishTask, getTarget, noteFailedOn, requestStop, returnTask, stopGang,
} from './tasks.js';
import {
	never, pollRetryMs, pollWaitMs, stuckMs,
} from './timing.js';
import {noteRunEnd} from './run-times.js';
import type {SchedulerEvent} from './events.js';
import type {
	EndedRow, RunEnd, RunningRow, SteadyMs,
} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** A start that stays without an answer is sent so often; then the run is stopped. */
const maxStartAttempts = 3;
/** Workers list at most this many run ends per answer; a list of this length may be incomplete. */
const maxListedEnds = 500;

/** Reported by a long-running task that has started up and is fully at work. */
const percentAtWork = 100;

/** A run that may have ended earlier by more than this share of its run time gives no duration. */
const maxEndErrorShare = 0.1;

type PollEnded = Extract<SchedulerEvent, {type: 'poll/ended'}>;

/** Whether runs made progress while their worker did not report is not known: that time does not count towards a stuck run. */
export function skipSilence(state: SchedulerState, worker: Worker): void {
	const silentMs = state.now - worker.lastAnswerAt - pollWaitMs;
	worker.silentMs = worker.failedPolls > 0 ? state.now - worker.lastAnswerAt : Math.max(0, silentMs);
	if (silentMs <= 0) {
		return;
	}

	for (const task of worker.tasks.values()) {
		task.percentChangedAt = Math.min(state.now, task.percentChangedAt + silentMs);
	}
}

/** Reads the run ends that were not read before; they are acknowledged once their effects are stored. */
export function readEnds(state: SchedulerState, worker: Worker, rows: readonly EndedRow[]): void {
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
		finishTask(state, task);
		advanceOccurrence(state, task.step.occurrence);
	},
	failed(state, worker, task) {
		const {job} = task.step.occurrence;
		const {isLongRunning} = task.step.definition;
		noteFailure(state, worker, job.definition.jobId, 'run failed');
		noteFailedOn(task, worker);
		returnTask(state, task, 'run-ended');
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
	returnTask(state, task, 'run-ended');
}

function readEnd(state: SchedulerState, worker: Worker, row: EndedRow): void {
	if (worker.unknownRuns.get(row.task)?.run === row.run) {
		worker.unknownRuns.delete(row.task);
	}

	const task = worker.tasks.get(row.task);
	if (task?.run !== row.run || !task.isSent) {
		readEarlierEnd(state, worker, row);
		return;
	}

	task.isReported = true;
	const ranMs = measureRun(state, worker, task);
	confirmTask(state, task);
	if (row.checkpoint !== '') {
		task.checkpoint = row.checkpoint;
	}

	const hasResult = row.how === 'done';
	if (!hasResult) {
		noteDecision(state, 'run-ended', {
			task: task.name, run: row.run, workerId: worker.id, how: row.how, failures: task.failures,
		});
	}

	if (hasResult && ranMs !== undefined) {
		noteRunEnd(state, task, ranMs);
	}

	endHandlers[row.how](state, worker, task);
	if (!hasResult) {
		stopGang(state, task.step);
	}
}

/** An end as done counts also if its run was given up before: a start that was carried out late may have begun it. A later run is stopped. */
function readEarlierEnd(state: SchedulerState, worker: Worker, row: EndedRow): void {
	const task = row.how === 'done' ? findTask(state, row.task) : undefined;
	if (!task || task.status === 'done' || row.run > task.run || !isJobOpen(task.step.occurrence.job)) {
		return;
	}

	const {isGang, isLongRunning} = task.step.definition;
	if (isGang || isLongRunning) {
		return;
	}

	noteDecision(state, 'earlier-run-done', {
		task: task.name, run: row.run, latestRun: task.run, workerId: worker.id,
	});
	if (task.worker && task.isSent) {
		noteUnansweredBefore(state, task.worker, task);
		stopUnknownRun(state, task.worker, {task: task.name, run: task.run});
	}

	endHandlers.done(state, worker, task);
}

/** How long a run that has just ended was at work; undefined if its start or its end is not known well enough. */
function measureRun({now}: SchedulerState, {silentMs}: Worker, {startedAt, isStartKnown, unansweredAt}: Task): number | undefined {
	const ranMs = now - startedAt;
	return isStartKnown && unansweredAt === never && silentMs <= ranMs * maxEndErrorShare ? ranMs : undefined;
}

/** Reads which runs go on, stops those that this leader does not know, and returns tasks whose runs are gone. */
export function readRunning(state: SchedulerState, worker: Worker, event: PollEnded): void {
	dropUnknownRuns(worker, event.sentAt);
	const seen = readRunningRows(state, worker, event.running);
	// The list of run ends may be incomplete: the end of a run that is not listed as running may be in its missing part.
	if (event.ended.length < maxListedEnds) {
		returnAbsentTasks(state, worker, seen, event.sentAt);
	}
}

/** Only a poll sent after a run was last reported shows that it is gone: answers may overtake each other. */
function dropUnknownRuns({unknownRuns}: Worker, sentAt: SteadyMs): void {
	for (const [task, {reportedAt}] of unknownRuns) {
		if (reportedAt < sentAt) {
			unknownRuns.delete(task);
		}
	}
}

/** Returns the names of the tasks whose runs go on. */
function readRunningRows(state: SchedulerState, worker: Worker, rows: readonly RunningRow[]): Set<string> {
	const seen = new Set<string>();
	for (const row of rows) {
		const task = worker.tasks.get(row.task);
		if (task?.run === row.run && task.isSent) {
			seen.add(row.task);
			readRunningRow(state, worker, task, row);
		} else {
			stopUnknownRun(state, worker, row);
		}
	}

	return seen;
}

/** Handles tasks whose runs a poll sent at `sentAt` has not listed; with a member its whole gang ends. */
function returnAbsentTasks(state: SchedulerState, worker: Worker, seen: ReadonlySet<string>, sentAt: SteadyMs): void {
	const steps = new Set<StepRun>();
	for (const task of worker.tasks.values()) {
		if (!task.isSent || seen.has(task.name)) {
			continue;
		}

		if (task.conclusiveAfter < sentAt) {
			noteUnansweredBefore(state, worker, task);
			noteDecision(state, 'run-absent', {task: task.name, run: task.run, workerId: worker.id});
			returnTask(state, task, 'run-absent');
			steps.add(task.step);
		} else if (task.status === 'placed' && task.unansweredAt <= sentAt) {
			// The start has not been carried out, but still may be.
			if (task.startAttempts < maxStartAttempts) {
				retryStart(state, task);
			} else {
				requestStop(state, task);
				steps.add(task.step);
			}
		}
	}

	for (const step of steps) {
		stopGang(state, step);
	}
}

/** Notes a start that may still be carried out though a list lacks its run: one that has no answer yet, or one of a former leader, of which it is not stored whether it was answered. */
function noteUnansweredBefore(state: SchedulerState, worker: Worker, task: Task): void {
	const mayComeLate = !task.isStartKnown && isJobOpen(task.step.occurrence.job) && !worker.isDraining;
	if (!task.isReported && (mayComeLate || hasOpenStart(state, task))) {
		noteLateStart(state, worker, task);
	}
}

/** Has a start sent again: a worker that has begun the run answers as for the first one. */
function retryStart(state: SchedulerState, task: Task): void {
	task.isRepeatDue = true;
	task.unansweredAt = never;
	queueStart(state, task, task.run);
}

function stopUnknownRun(state: SchedulerState, worker: Worker, row: Pick<RunningRow, 'task' | 'run'>): void {
	worker.unknownRuns.set(row.task, {run: row.run, reportedAt: state.now});
	noteUncertainWorker(state, worker);
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
	const {isLongRunning, isGang} = task.step.definition;
	if (row.percent !== task.percent) {
		task.percent = row.percent;
		task.percentChangedAt = state.now;
		return;
	}

	if (isLongRunning && row.percent === percentAtWork) {
		noteAtWork(state, worker, task);
	}

	const isStuck = task.status === 'running' && !isLongRunning && !isGang && state.now - task.percentChangedAt > stuckMs;
	if (isStuck) {
		const {jobId} = task.step.occurrence.job.definition;
		noteFailure(state, worker, jobId, 'run makes no progress');
		noteDecision(state, 'run-stuck', {
			task: task.name, run: task.run, workerId: worker.id, percent: task.percent,
		});
		noteFailedOn(task, worker);
		requestStop(state, task);
	}
}
