/**
 * Decides at a host whether a new job is accepted. A job is refused only if, by figures of the leader that are recent enough,
 * it would end so late that it is of no use to its caller.
 */
import {
	findShare, findWait, getLoadAgeMs, isAdmissionEnabled,
} from './load-view.js';
import {getQueue} from './queues.js';
import {doesFit} from './resources.js';
import {computeOverloadRetryS} from './retry-after.js';
import {estimateCriticalPathMs} from './run-estimate.js';
import {getStepNeed} from './tasks.js';
import {overheadMs, slackShare, usefulFactor} from './urgency.js';
import type {JobDefinition, PoolWait, SteadyMs} from './types.js';
import type {SchedulerState} from './state.js';

export type AdmissionInput = {
	readonly now: SteadyMs;
	/** When the job was first sent, if a host has refused it before. */
	readonly firstSentAt: SteadyMs | undefined;
	/** Everything that was stored in the ledger before this age has been read; undefined if that is not known. */
	readonly ledgerAgeMs: number | undefined;
	/** Draws a random number from 0 to 1. */
	readonly draw: () => number;
};

/**
 * `unjudged`: the job is long-running, scheduled, or admission is not enabled; `stale`: there are no figures that would
 * justify a refusal; `idle`: no wait is known for its queue; `timely`: it can meet its objective; `late`: it can be late but
 * of use.
 */
export type AdmittedOutcome = 'unjudged' | 'stale' | 'idle' | 'timely' | 'late';
export type AdmissionVerdict
	= | {readonly outcome: AdmittedOutcome}
		| {readonly outcome: 'refused'; readonly expectedWaitMs: number; readonly viewAgeMs: number; readonly retryAfterS: number};

/**
 * Judges a job that is not known yet. A job that returns after a refusal keeps its first send, so it goes before those that
 * arrive later.
 */
export function judgeAdmission(state: SchedulerState, job: JobDefinition, input: AdmissionInput): AdmissionVerdict {
	const queue = getQueue(state, job.queue);
	if (!queue || !isAdmissionEnabled(state) || !isShortAndOnce(job)) {
		return {outcome: 'unjudged'};
	}

	const {now, firstSentAt, ledgerAgeMs, draw} = input;
	const viewAgeMs = getLoadAgeMs(state, now, ledgerAgeMs);
	if (viewAgeMs === undefined) {
		return {outcome: 'stale'};
	}

	const wait = findWait(state, queue.pool, queue.priority, now);
	if (!wait || hasRoom(wait, job)) {
		return {outcome: 'idle'};
	}

	const isExcess = job.account !== undefined && draw() >= findShare(state, job.account);
	const startMs = isExcess ? wait.excessMs : wait.startMs;
	const criticalPathMs = estimateCriticalPathMs(state, job);
	const objectiveMs = (queue.stretch * criticalPathMs) + queue.latencyTargetMs;
	const sinceSentMs = now - (firstSentAt ?? now);
	const waitMs = isExcess ? wait.excessMs : wait.delayMs;
	if (sinceSentMs + startMs + overheadMs + (criticalPathMs * (1 + slackShare)) <= objectiveMs) {
		return {outcome: 'timely'};
	}

	if (waitMs === 0 || sinceSentMs + waitMs + criticalPathMs <= objectiveMs * usefulFactor) {
		return {outcome: 'late'};
	}

	return {
		outcome: 'refused', expectedWaitMs: Math.round(waitMs), viewAgeMs, retryAfterS: computeOverloadRetryS(wait.backlogMs - Math.max(0, objectiveMs - criticalPathMs), draw()),
	};
}

/** True if the tasks with which the job begins fit a worker of its pool. */
function hasRoom({room}: PoolWait, {steps}: JobDefinition): boolean {
	return room !== undefined && steps.every(step => step.dependsOn.length > 0 || doesFit(getStepNeed(step), room));
}

/** Jobs with long-running steps or scheduled occurrences are always accepted. */
function isShortAndOnce({runCount, steps}: JobDefinition): boolean {
	return runCount === 0 && steps.length > 0 && steps.every(({isLongRunning}) => !isLongRunning);
}
