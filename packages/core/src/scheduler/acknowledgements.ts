/**
 * Acknowledges run ends to workers. A worker forgets all ends up to the acknowledged number, and each of its incarnations
 * numbers its ends from 1: an acknowledgement that reaches the next incarnation would make it forget ends that nobody has
 * read, also ends that come later. Therefore each number is sent only once, in a call that is answered at once, and only
 * just after the worker has answered; starts that the next incarnation may carry out do not go beside it.
 */
import {lateStartMs, never} from './timing.js';
import type {EndedRow, SteadyMs} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** A run end that is not acknowledged before an instant, by its number and the birth of its incarnation. */
export type KeptEnd = {readonly number: number; readonly bornAt: number; readonly until: SteadyMs};

/** A worker's process takes longer than this to end and start again. */
const minRestartMs = 100;

/** True if run ends whose effects are stored have not been acknowledged. */
export function isAcknowledgementDue({lastStoredEnd, lastAckedEnd}: Worker): boolean {
	return lastAckedEnd < lastStoredEnd;
}

/**
 * Keeps the end of a task that is done from being acknowledged while an unanswered start of it may still be carried out. If the
 * process ends meanwhile, nobody has taken note of the end, and a run that the next process then begins is the only one.
 */
export function keepEnd({now}: SchedulerState, worker: Worker, task: Task, number: number): void {
	const until = Math.max(0, ...task.lateStarts.map(({late}) => late.forgetAt));
	if (until > now) {
		worker.keptEnds = [...worker.keptEnds, {number, bornAt: worker.bornAt, until}];
	}
}

/** Notes that the effects of a worker's run ends are stored: those before the first one that is kept may be acknowledged. */
export function noteStoredEnds(worker: Worker, upTo: number): void {
	const firstKept = Math.min(...worker.keptEnds.filter(({bornAt}) => bornAt === worker.bornAt).map(({number}) => number));
	worker.lastStoredEnd = Math.max(worker.lastStoredEnd, Math.min(upTo, worker.lastReadEnd, firstKept - 1));
}

/** Has run ends acknowledged that need not be kept any more. */
export function tickKeptEnds(state: SchedulerState): void {
	for (const worker of state.workers.values()) {
		if (worker.keptEnds.length === 0) {
			continue;
		}

		const kept = worker.keptEnds.filter(({bornAt, until}) => bornAt === worker.bornAt && until > state.now);
		if (kept.length < worker.keptEnds.length) {
			worker.keptEnds = kept;
			// All that was read up to now is stored with the next commit.
			state.pendingActions.push({
				type: 'acknowledge-ends', worker, bornAt: worker.bornAt, upTo: worker.lastReadEnd,
			});
		}
	}
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
