/**
 * More work than room: the steps that can still be in time go first, those that cannot go last.
 *
 * In order of arrival alone, every job would wait for the whole queue and be late; a job that is late already
 * loses little more by waiting.
 */
import {getQueue} from './queues.js';
import type {QueueName} from './types.js';
import type {SchedulerState, StepRun} from './state.js';

/** Weight of the latest run in the followed ratio. */
const latestWeight = 0.05;
const lowestPriority = 9;
/** The ratio of run times to estimates is followed within these bounds. */
const leastRatio = 0.2;
const mostRatio = 5;
/** The last of several tasks of a step runs this much longer than their mean. */
const widthFactor = 1.15;
/** Storing, starting, noticing ends and showing them take about this long beside a job's work. */
const overheadMs = 300;
/** Of the work that is left, kept for what goes worse than expected. */
const safetyShare = 0.35;

export type Urgency = {
	readonly step: StepRun;
	readonly priority: number;
	/** The job cannot be in time any more. */
	readonly isHopeless: boolean;
	/** The job is under way. */
	readonly isUnderWay: boolean;
	readonly acceptedAt: number;
};

/** Takes down how long a task ran, against its estimate. */
export function updateRunRatio(state: SchedulerState, queue: QueueName, ranMs: number, estimateMs: number): void {
	const bounded = Math.min(mostRatio, Math.max(leastRatio, ranMs / Math.max(1, estimateMs)));
	const followed = state.runRatios.get(queue) ?? bounded;
	state.runRatios.set(queue, followed + ((bounded - followed) * latestWeight));
}

/** How urgent a step is. */
export function computeUrgency(state: SchedulerState, step: StepRun): Urgency {
	const {job} = step.occurrence;
	const queue = getQueue(state, job.definition.queue);
	const ratio = state.runRatios.get(job.definition.queue) ?? 1;
	let chainMs = 0;
	let leftMs = 0;
	for (const [number, {count, estimateMs}] of job.definition.steps.entries()) {
		const longestMs = estimateMs * ratio * (count > 1 ? widthFactor : 1);
		chainMs += longestMs;
		leftMs += number >= step.number ? longestMs : 0;
	}

	const objectiveMs = ((queue?.stretch ?? 1) * chainMs) + (queue?.latencyTargetMs ?? 0);
	const isUnderWay = job.live?.hasStarted ?? false;
	const isTimed = !step.definition.isLongRunning && job.definition.runCount === 0;
	return {
		step,
		priority: queue?.priority ?? lowestPriority,
		isHopeless: isTimed && state.now + leftMs + computeMargin(leftMs, isUnderWay) > job.acceptedAt + objectiveMs,
		isUnderWay,
		acceptedAt: job.acceptedAt,
	};
}

/** Time to spare without which a job is not begun before others: what is begun and then late has taken their room for nothing. */
function computeMargin(leftMs: number, isUnderWay: boolean): number {
	return overheadMs + (isUnderWay ? 0 : leftMs * safetyShare);
}

/** The order in which steps get room: by priority, those in time first, then those under way, then by arrival. */
export function compareUrgency(a: Urgency, b: Urgency): number {
	return a.priority - b.priority
		|| Number(a.isHopeless) - Number(b.isHopeless)
		|| Number(b.isUnderWay) - Number(a.isUnderWay)
		|| a.acceptedAt - b.acceptedAt;
}
