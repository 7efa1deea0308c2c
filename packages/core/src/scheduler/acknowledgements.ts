/**
 * Acknowledges run ends to workers. A worker forgets all ends up to the acknowledged number, and each of its incarnations
 * numbers its ends from 1: an acknowledgement that reaches the next incarnation would make it forget ends that nobody has
 * read, also ends that come later. Therefore each number is sent only once, in a call that is answered at once, and only
 * just after the worker has answered; starts that the next incarnation may carry out do not go beside it.
 */
import {lateStartMs, never} from './timing.js';
import type {EndedRow, SteadyMs} from './types.js';
import type {
	SchedulerState, StepRun, Worker,
} from './state.js';

/** A worker's process takes longer than this to end and start again. */
const minRestartMs = 100;

/** True if run ends whose effects are stored have not been acknowledged. */
export function isAcknowledgementDue({lastStoredEnd, lastAckedEnd}: Worker): boolean {
	return lastAckedEnd < lastStoredEnd;
}

/** The number to acknowledge with a poll that is sent now; 0 for none. */
export function chooseAcknowledgement({now}: SchedulerState, worker: Worker): number {
	const isAlive = worker.isPolledByLeader && worker.failedPolls === 0 && now - worker.lastAnswerAt <= minRestartMs;
	return isAcknowledgementDue(worker) && isAlive ? worker.lastStoredEnd : 0;
}

/** True while an acknowledgement is on its way and the worker may have restarted since it last answered: a start waits for the answer. */
export function isAcknowledging({now}: SchedulerState, {sentAck, lastAnswerAt}: Worker): boolean {
	return sentAck > 0 && now - lastAnswerAt > minRestartMs;
}

/** Handles a poll without an answer: the acknowledgement that it carried may be carried out later, also by the next incarnation. */
export function noteUnansweredAcknowledgement({now}: SchedulerState, worker: Worker): void {
	const {sentAck, unansweredAck} = worker;
	if (sentAck === 0) {
		return;
	}

	worker.sentAck = 0;
	worker.unansweredAck = {
		upTo: Math.max(sentAck, unansweredAck?.upTo ?? 0), noticedAt: now, forgetAt: now + lateStartMs, isOutstanding: unansweredAck?.isOutstanding ?? false,
	};
}

/** Reads from an answer of the known incarnation which acknowledgements it has carried out. */
export function readAcknowledged(worker: Worker, {isExtra, sentAt, ended}: {readonly isExtra: boolean; readonly sentAt: SteadyMs; readonly ended: readonly EndedRow[]}): void {
	if (!isExtra) {
		worker.lastAckedEnd = Math.max(worker.lastAckedEnd, worker.sentAck);
		worker.sentAck = 0;
	}

	const {unansweredAck} = worker;
	if (unansweredAck === undefined || sentAt < unansweredAck.noticedAt) {
		return;
	}

	if (ended.some(({number}) => number <= unansweredAck.upTo)) {
		unansweredAck.isOutstanding = true;
	} else if (!unansweredAck.isOutstanding) {
		worker.lastAckedEnd = Math.max(worker.lastAckedEnd, unansweredAck.upTo);
		worker.unansweredAck = undefined;
	}
}

/** Handles a new incarnation: acknowledgements on their way may reach it. */
export function passAcknowledgements(state: SchedulerState, worker: Worker): void {
	noteUnansweredAcknowledgement(state, worker);
	const {unansweredAck} = worker;
	const isOpen = unansweredAck !== undefined && unansweredAck.forgetAt > state.now;
	worker.unansweredAck = isOpen ? unansweredAck : undefined;
	worker.hiddenEnds = isOpen ? {upTo: unansweredAck.upTo, settledAt: never} : undefined;
}

/** Reads from the listed run ends whether the incarnation lists all that are to come: one has a higher number than was acknowledged, or a lower one is listed although no acknowledgement can come any more. */
export function readHiddenEnds(worker: Worker, sentAt: SteadyMs, ended: readonly EndedRow[]): void {
	const {hiddenEnds} = worker;
	if (hiddenEnds === undefined) {
		return;
	}

	const isPassed = worker.lastReadEnd >= hiddenEnds.upTo;
	if (isPassed || (sentAt > hiddenEnds.settledAt && ended.some(({number}) => number <= hiddenEnds.upTo))) {
		worker.hiddenEnds = undefined;
	}
}

/** True if a worker lists the ends of its runs, or a step may do without: its tasks never end as done, or may run more than once. */
export function canReportEnds({definition}: StepRun, {hiddenEnds}: Worker): boolean {
	return hiddenEnds === undefined || definition.isLongRunning || definition.isSpeculative;
}
