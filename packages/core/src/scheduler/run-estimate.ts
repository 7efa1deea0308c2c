/** How long the tasks of a job are expected to run: what was learned, or else what the job declares. */
import {estimateMeanMs, type PlannedJob} from './run-times.js';
import {stragglerFactor} from './urgency.js';
import type {SchedulerState} from './state.js';

type Plan = PlannedJob['definition'];

/** Expected run time of one task of a job's step, given by its position. */
export function estimateRunMs(state: SchedulerState, definition: Plan, number: number): number {
	return estimateMeanMs(state, {definition}, number, 'admission');
}

/** Expected time that the critical path, the longest chain of dependent steps, takes without waiting. */
export function estimateCriticalPathMs(state: SchedulerState, definition: Plan): number {
	const endMs: number[] = [];
	for (const [number, step] of definition.steps.entries()) {
		const startMs = Math.max(0, ...step.dependsOn.map(earlier => endMs[earlier] ?? 0));
		endMs.push(startMs + (estimateRunMs(state, definition, number) * (step.count > 1 ? stragglerFactor : 1)));
	}

	return Math.max(0, ...endMs);
}
