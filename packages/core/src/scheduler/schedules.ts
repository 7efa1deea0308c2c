/** Opens the occurrences of jobs when they are due: few of those that are overdue at once, as a schedule may have more of them than a host has memory for. */
import {findMissing} from './occurrence-ranges.js';
import {computeBuildSize, getOccurrence} from './occurrences.js';
import {updateOpenStep} from './tasks.js';
import type {JobDefinition} from './types.js';
import type {Job, Occurrence, SchedulerState} from './state.js';

/** Most steps and tasks of all schedules that are built while nothing of their occurrences is assigned, apart from one occurrence of each. */
const maxIdleSize = 20_000;
/** The same for one schedule. */
const maxIdleSizePerSchedule = 200;

/**
 * Opens occurrences of a job that are due, in their order. Of those that have nothing assigned, only so many are open that
 * they have `maxSize` steps and tasks, but always one. Those that have something assigned are bounded by the workers' capacity.
 */
export function openDueOccurrences(state: SchedulerState, job: Job, maxSize: number): void {
	const {live, definition} = job;
	if (!live) {
		return;
	}

	const total = Math.max(1, definition.runCount);
	const size = computeBuildSize(job);
	let idleSize = computeIdleSize(job);
	for (;;) {
		const number = findMissing(live.finishedOccurrences, live.nextOccurrence);
		live.nextOccurrence = number;
		if (number >= total || !isDue(state, definition, number)) {
			return;
		}

		if (!live.occurrences.has(number)) {
			if (idleSize > 0 && idleSize + size > maxSize) {
				return;
			}

			idleSize += size;
		}

		live.nextOccurrence++;
		openOccurrence(state, getOccurrence(state, job, live, number));
	}
}

/** Steps and tasks that were built for the open occurrences of a job that have nothing assigned. */
function computeIdleSize(job: Job): number {
	let idle = 0;
	for (const {assignedTasks} of job.live?.occurrences.values() ?? []) {
		idle += assignedTasks === 0 ? 1 : 0;
	}

	return idle * computeBuildSize(job);
}

/** Opens the occurrences of all schedules that are due, as far as their number is bounded. */
export function tickSchedules(state: SchedulerState): void {
	const schedules = [...state.liveJobs].filter(({definition}) => definition.runCount > 0);
	let left = maxIdleSize - schedules.reduce((sum, job) => sum + computeIdleSize(job), 0);
	for (const job of schedules) {
		const before = computeIdleSize(job);
		openDueOccurrences(state, job, Math.min(maxIdleSizePerSchedule, before + Math.max(0, left)));
		left -= computeIdleSize(job) - before;
	}
}

function openOccurrence(state: SchedulerState, occurrence: Occurrence): void {
	occurrence.isDue = true;
	for (const step of occurrence.steps) {
		updateOpenStep(state, step);
	}
}

function isDue(state: SchedulerState, definition: JobDefinition, occurrence: number): boolean {
	// A run count of 0: runs once, immediately.
	return definition.runCount === 0 || state.wallNow >= definition.firstRunAt + (occurrence * definition.intervalMs);
}
