/**
 * Checks that a worker answers before a start is sent there, unless it has answered lately. A start that a dead worker leaves
 * unanswered may have been carried out by its next incarnation, and keeps its task waiting for the longest lease. The check
 * runs beside the append that stores the placement.
 */
import {sendExtraPoll} from './polls.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** An answer this old shows that a worker is there. */
const recentAnswerMs = 100;
/** A check without an answer for this long has failed, or fails soon. */
const checkLimitMs = 600;

/** Sends a check to the worker of a task that was just placed, if it needs one. */
export function checkBeforeStart(state: SchedulerState, worker: Worker): void {
	if (state.now - worker.lastAnswerAt > recentAnswerMs && !isCheckPending(state, worker)) {
		worker.checkSentAt = state.now;
		sendExtraPoll(state, worker);
	}
}

function isCheckPending({now}: SchedulerState, {checkSentAt, lastAnswerAt}: Worker): boolean {
	return checkSentAt > lastAnswerAt && now - checkSentAt < checkLimitMs;
}

/** True while the start of a placed task waits for the answer to a check. */
export function isChecking(state: SchedulerState, {worker, placedAt}: Task): boolean {
	return worker !== undefined && worker.lastAnswerAt < placedAt - recentAnswerMs && isCheckPending(state, worker);
}
