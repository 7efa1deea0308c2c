/**
 * Ratio of the time that tasks ran to the time that was declared for them, by queue.
 *
 * It is the ratio of two sums. The mean of the single ratios would count tasks of a much too short estimate many times over,
 * although they are but a small part of the work: where estimates are wrong by a factor of three, it doubles the work.
 */
import type {QueueName} from './types.js';
import type {SchedulerState} from './state.js';

/**
 * Least weight of the latest run; until there are as many runs, all count alike. After a burst the long runs end last: with a
 * weight of 0.001 they alone made the ratio half as high again.
 */
const leastWeight = 0.0001;

/** Adds a run that ended as done. */
export function noteRunWork(state: SchedulerState, queue: QueueName, ranMs: number, declaredMs: number): void {
	const sums = state.workRatios.get(queue) ?? {runs: 0, ranMs: 0, declaredMs: 0};
	const weight = Math.max(leastWeight, 1 / (sums.runs + 1));
	state.workRatios.set(queue, {
		runs: sums.runs + 1,
		ranMs: sums.ranMs + ((ranMs - sums.ranMs) * weight),
		declaredMs: sums.declaredMs + ((Math.max(1, declaredMs) - sums.declaredMs) * weight),
	});
}

/** The factor by which the declared work of a queue's jobs differs from what it takes; 1 if none of them has ended. */
export function getWorkRatio(state: SchedulerState, queue: QueueName): number {
	const sums = state.workRatios.get(queue);
	return sums ? sums.ranMs / sums.declaredMs : 1;
}
