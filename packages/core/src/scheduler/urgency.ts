/**
 * More work than room: the steps that can still be in time go first, those that cannot go last.
 *
 * In order of arrival alone, every job would wait for the whole queue and be late; a job that is late already
 * loses little more by waiting.
 */
import {getQueue} from './queues.js';
import type {QueueName} from './types.js';
import type {SchedulerState, StepRun} from './state.js';

/** Weight of the latest run in the followed run time. */
const latestWeight = 0.05;
const lowestPriority = 9;
/** Run times are followed within these bounds, in milliseconds. */
const shortestRunMs = 50;
const longestRunMs = 60_000;

export type Urgency = {
	readonly step: StepRun;
	readonly priority: number;
	/** The job cannot be in time any more. */
	readonly isHopeless: boolean;
	/** The job is under way. */
	readonly isLater: boolean;
	readonly acceptedAt: number;
};

/** Takes down how long a task ran. */
export function noteRunTime(state: SchedulerState, queue: QueueName, ranMs: number): void {
	const bounded = Math.min(longestRunMs, Math.max(shortestRunMs, ranMs));
	const followed = state.runTimes.get(queue) ?? bounded;
	state.runTimes.set(queue, followed + ((bounded - followed) * latestWeight));
}

/** How urgent a step is. */
export function computeUrgency(state: SchedulerState, step: StepRun): Urgency {
	const {job} = step.occurrence;
	const queue = getQueue(state, job.definition.queue);
	const {steps} = job.definition;
	const runMs = state.runTimes.get(job.definition.queue);
	const getMs = (number: number) => runMs ?? steps[number]?.estimateMs ?? 0;
	let chainMs = 0;
	let leftMs = 0;
	for (let number = 0; number < steps.length; number++) {
		chainMs += getMs(number);
		leftMs += number >= step.number ? getMs(number) : 0;
	}

	const objectiveMs = ((queue?.stretch ?? 1) * chainMs) + (queue?.latencyTargetMs ?? 0);
	const isTimed = !step.definition.isLongRunning && job.definition.runCount === 0;
	return {
		step,
		priority: queue?.priority ?? lowestPriority,
		isHopeless: isTimed && state.now + leftMs > job.acceptedAt + objectiveMs,
		isLater: step.number > 0,
		acceptedAt: job.acceptedAt,
	};
}

/** The order in which steps get room: by priority, those in time first, then those under way, then by arrival. */
export function compareUrgency(a: Urgency, b: Urgency): number {
	return a.priority - b.priority
		|| Number(a.isHopeless) - Number(b.isHopeless)
		|| Number(b.isLater) - Number(a.isLater)
		|| a.acceptedAt - b.acceptedAt;
}
