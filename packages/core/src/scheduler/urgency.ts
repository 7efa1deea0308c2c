/**
 * Order of steps when there is more work than capacity: steps of jobs that can still meet their latency objective come
 * first, those of jobs that cannot come last.
 *
 * In order of arrival alone, every job would wait for the whole queue and miss its objective, whereas a job that has
 * already missed it loses little by waiting longer.
 */
import {getQueue} from './queues.js';
import type {QueueName} from './types.js';
import type {SchedulerState, StepRun} from './state.js';

/** Weight of the latest run in the moving average of the ratio of run time to estimate. */
const smoothingWeight = 0.05;
const lowestPriority = 9;
/** Each ratio is clamped to these bounds before it enters the average. */
const minRatio = 0.2;
const maxRatio = 5;
/** The slowest of several tasks of a step takes this many times their mean run time. */
const stragglerFactor = 1.15;
/** Approximate time that storing, starting, detecting the end and publishing the result add to a job's own work. */
const overheadMs = 300;
/** Share of the remaining work kept as slack in case it takes longer than expected. */
const slackShare = 0.35;

export type Urgency = {
	readonly step: StepRun;
	readonly priority: number;
	/** The job can no longer meet its latency objective. */
	readonly isObjectiveUnreachable: boolean;
	/** The job has started. */
	readonly hasStarted: boolean;
	readonly acceptedAt: number;
};

/** Updates the ratio of run time to estimate of a queue with a finished run. */
export function updateRunRatio(state: SchedulerState, queue: QueueName, ranMs: number, estimateMs: number): void {
	const bounded = Math.min(maxRatio, Math.max(minRatio, ranMs / Math.max(1, estimateMs)));
	const average = state.runRatios.get(queue) ?? bounded;
	state.runRatios.set(queue, average + ((bounded - average) * smoothingWeight));
}

/** Computes what the order of a step depends on. */
export function computeUrgency(state: SchedulerState, step: StepRun): Urgency {
	const {job} = step.occurrence;
	const queue = getQueue(state, job.definition.queue);
	const ratio = state.runRatios.get(job.definition.queue) ?? 1;
	let totalMs = 0;
	let remainingMs = 0;
	for (const [number, {count, estimateMs}] of job.definition.steps.entries()) {
		const stepMs = estimateMs * ratio * (count > 1 ? stragglerFactor : 1);
		totalMs += stepMs;
		remainingMs += number >= step.number ? stepMs : 0;
	}

	const objectiveMs = ((queue?.stretch ?? 1) * totalMs) + (queue?.latencyTargetMs ?? 0);
	const hasStarted = job.live?.hasStarted ?? false;
	const isTimed = !step.definition.isLongRunning && job.definition.runCount === 0;
	return {
		step,
		priority: queue?.priority ?? lowestPriority,
		isObjectiveUnreachable: isTimed && state.now + remainingMs + computeRequiredSlack(remainingMs, hasStarted) > job.sentAt + objectiveMs,
		hasStarted,
		// A caller who returns after a refusal goes before newcomers.
		acceptedAt: job.sentAt,
	};
}

/** The slack that a job needs to be started ahead of others: a job that is started and then late has used their capacity for nothing. */
function computeRequiredSlack(remainingMs: number, hasStarted: boolean): number {
	return overheadMs + (hasStarted ? 0 : remainingMs * slackShare);
}

/** Sorts steps by priority, then those that can meet their objective first, then those of started jobs, then by arrival. */
export function compareUrgency(a: Urgency, b: Urgency): number {
	return a.priority - b.priority
		|| Number(a.isObjectiveUnreachable) - Number(b.isObjectiveUnreachable)
		|| Number(b.hasStarted) - Number(a.hasStarted)
		|| a.acceptedAt - b.acceptedAt;
}
