/** How long a task is expected to run: what its job declares, corrected by the queue's ratio of run time to estimate. */
import type {QueueName, StepDefinition} from './types.js';
import type {SchedulerState} from './state.js';

/** The slowest of several tasks of a step takes this many times their mean run time. */
const stragglerFactor = 1.15;

/** Expected run time of one task of a step. */
export function estimateRunMs(state: SchedulerState, queue: QueueName, {estimateMs}: StepDefinition): number {
	return estimateMs * (state.runRatios.get(queue) ?? 1);
}

/** Expected time that the longest chain of dependent steps takes without waiting. */
export function estimateChainMs(state: SchedulerState, queue: QueueName, steps: readonly StepDefinition[]): number {
	const endMs: number[] = [];
	for (const step of steps) {
		const startMs = Math.max(0, ...step.dependsOn.map(number => endMs[number] ?? 0));
		endMs.push(startMs + (estimateRunMs(state, queue, step) * (step.count > 1 ? stragglerFactor : 1)));
	}

	return Math.max(0, ...endMs);
}
