/**
 * Starts without an answer are bounded by what the host's link carries in a short while: more of them would wait at
 * the link until their time-outs pass, and the looks that keep leases alive with them.
 */
import type {SchedulerState, Task} from './state.js';

/** Headers, names and the other fields of a start. */
const overheadBytes = 500;

function computeBytes(task: Task): number {
	return task.step.occurrence.job.definition.spec.length + overheadBytes;
}

/** True if another start may be decided. */
export function hasStartWindow(state: SchedulerState): boolean {
	return state.openStartBytes < state.settings.startWindowBytes;
}

/** Counts a start from its decision on. */
export function openStart(state: SchedulerState, task: Task): void {
	if (!state.openStarts.has(task)) {
		state.openStarts.add(task);
		state.openStartBytes += computeBytes(task);
	}
}

/** A start was answered or given up. */
export function closeStart(state: SchedulerState, task: Task): void {
	if (state.openStarts.delete(task)) {
		state.openStartBytes -= computeBytes(task);
		state.needsPlacement = true;
	}
}
