/**
 * Builds the occurrences of a job with their steps, and the tasks of a step. Tasks that have never been placed are all alike:
 * those of a large job are built, in the order of their indexes, only when they are about to be placed. Many large jobs may
 * wait that together have more tasks than a host has memory for.
 */
import type {JobId} from '../types/ids.js';
import {never} from './timing.js';
import type {TaskName} from './types.js';
import type {
	Job, LiveJob, Occurrence, SchedulerState, StepRun, Task,
} from './state.js';

/** A job with no more tasks than this has all of them built at once. */
const maxTasksBuiltAtOnce = 100;
const noWorkers: Task['failedOn'] = new Set();

/** An occurrence of a job, created if there is none yet. */
export function getOccurrence(state: SchedulerState, job: Job, live: LiveJob, number: number): Occurrence {
	const occurrence = live.occurrences.get(number) ?? createOccurrence(state, job, number);
	live.occurrences.set(number, occurrence);
	return occurrence;
}

function createOccurrence({now}: SchedulerState, job: Job, number: number): Occurrence {
	const occurrence: Occurrence = {
		job, number, steps: [], createdAt: now, assignedTasks: 0, isDue: false, isDone: false,
	};
	const isSmall = countTasks(job) <= maxTasksBuiltAtOnce;
	for (const [index, definition] of job.definition.steps.entries()) {
		const step: StepRun = {
			occurrence, number: index, definition, tasks: [], doneCount: 0, advice: undefined,
		};
		occurrence.steps.push(step);
		if (isSmall) {
			ensureTask(step, definition.count - 1);
		}
	}

	return occurrence;
}

function countTasks({definition}: Job): number {
	return definition.steps.reduce((sum, {count}) => sum + count, 0);
}

/** How many steps and tasks are built when an occurrence of a job is created. */
export function computeBuildSize(job: Job): number {
	const tasks = countTasks(job);
	return job.definition.steps.length + (tasks <= maxTasksBuiltAtOnce ? tasks : 0);
}

/** How many tasks of a step have not been built; all of them wait. */
export function countUnbuilt({definition, tasks}: StepRun): number {
	return definition.count - tasks.length;
}

/** Builds the next task of a step. */
export function buildTask(step: StepRun): Task {
	const task = createTask(step, step.tasks.length);
	step.tasks.push(task);
	return task;
}

/** Builds the tasks of a step up to an index; returns the last of them, or undefined if the step has no such task. */
export function ensureTask(step: StepRun, index: number): Task | undefined {
	while (step.tasks.length <= index && countUnbuilt(step) > 0) {
		buildTask(step);
	}

	return step.tasks[index];
}

/** The task of a name; undefined if its job is not active, or it has not been built. */
export function findTask({jobs}: SchedulerState, name: TaskName): Task | undefined {
	const [jobId, occurrence, step, index] = name.split('.');
	return jobs.get(jobId as JobId)?.live?.occurrences.get(Number(occurrence))?.steps[Number(step)]?.tasks[Number(index)];
}

/** Up to `most` waiting tasks of a step, in the order of their indexes. */
export function listWaitingTasks(step: StepRun, most: number): Task[] {
	const waiting = step.tasks.filter(({status}) => status === 'waiting').slice(0, most);
	while (waiting.length < most && countUnbuilt(step) > 0) {
		waiting.push(buildTask(step));
	}

	return waiting;
}

export function countWaitingTasks(step: StepRun): number {
	return step.tasks.filter(({status}) => status === 'waiting').length + countUnbuilt(step);
}

export function hasWaitingTasks(step: StepRun): boolean {
	return countUnbuilt(step) > 0 || step.tasks.some(({status}) => status === 'waiting');
}

function createTask(step: StepRun, index: number): Task {
	const {job, number, createdAt} = step.occurrence;
	return {
		name: `${job.definition.jobId}.${number}.${step.number}.${index}` as TaskName,
		step,
		index,
		status: 'waiting',
		run: 0,
		failures: 0,
		worker: undefined,
		checkpoint: '',
		isSent: false,
		isReported: false,
		sentAt: 0,
		wasBound: false,
		startAttempts: 0,
		isRepeatDue: false,
		lateStarts: [],
		unansweredAt: never,
		conclusiveAfter: 0,
		stopDueAt: 0,
		percent: 0,
		percentChangedAt: 0,
		startedAt: 0,
		isStartKnown: false,
		isResumed: false,
		overTailRun: 0,
		reading: 0,
		pacePercent: 100,
		readyAt: createdAt,
		failedOn: noWorkers,
		crashes: [],
		heldBackRun: 0,
		heldBackUntil: 0,
	};
}
