/** Builds the occurrences of a job, with their steps and tasks in their initial state. */
import {never} from './timing.js';
import type {TaskName} from './types.js';
import type {
	Job, LiveJob, Occurrence, SchedulerState, StepRun, Task,
} from './state.js';

/** An occurrence of a job, created if there is none yet. */
export function getOccurrence(state: SchedulerState, job: Job, live: LiveJob, number: number): Occurrence {
	const occurrence = live.occurrences.get(number) ?? createOccurrence(state, job, number);
	live.occurrences.set(number, occurrence);
	return occurrence;
}

function createOccurrence(state: SchedulerState, job: Job, number: number): Occurrence {
	const occurrence: Occurrence = {
		job, number, steps: [], isDue: false, isDone: false,
	};
	for (const [index, definition] of job.definition.steps.entries()) {
		const step: StepRun = {
			occurrence, number: index, definition, tasks: [], doneCount: 0, advice: undefined,
		};
		occurrence.steps.push(step);
		for (let task = 0; task < definition.count; task++) {
			step.tasks.push(createTask(state, step, task));
		}
	}

	return occurrence;
}

function createTask(state: SchedulerState, step: StepRun, index: number): Task {
	const {job, number} = step.occurrence;
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
		readyAt: state.now,
		failedOn: new Set(),
		crashes: [],
	};
}
