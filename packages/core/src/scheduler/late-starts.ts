/**
 * Starts without an answer. One may be carried out seconds later, also by the worker's next process, which has no record of a
 * stop that the former one confirmed. Until it is too late for that, its task starts on no other worker: there a second run
 * would go on beside the late one. At the same worker a later run may start once the present process cannot begin the
 * earlier one any more.
 */
import {lateStartMs, never} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {
	LateStart, SchedulerState, Task, Worker,
} from './state.js';

/** True if a start of the task's latest run may still be carried out by the present process of its worker. */
export function canStillBegin({lateStarts}: Worker, task: Task): boolean {
	return lateStarts.some(late => late.task === task.name && late.run === task.run && !late.isRuledOut);
}

/**
 * True while an earlier start keeps a task from all other workers. A long-running task must be restarted at once: it does not
 * wait for a worker that is out of reach. A worker that drains leaves for good, so it has no next process.
 */
function isBinding({now}: SchedulerState, {step}: Task, {worker, late}: Task['lateStarts'][number]): boolean {
	const isOutOfReach = !worker.isListed || worker.failedPolls > 0;
	const isLeaving = late.isRuledOut === true && worker.isDraining;
	return late.forgetAt > now && !isLeaving && !(step.definition.isLongRunning && isOutOfReach);
}

/** True while a task may start only on the workers that may still carry out an earlier start of it. */
export function isBoundByLateStart(state: SchedulerState, task: Task): boolean {
	return task.lateStarts.some(start => isBinding(state, task, start));
}

/** True if no earlier start of a task can begin a run beside one that a worker is given now. */
export function canStartBesideLate(state: SchedulerState, task: Task, worker: Worker): boolean {
	return task.lateStarts.every(start => !isBinding(state, task, start) || (start.worker === worker && start.late.isRuledOut === true));
}

/** The worker that a waiting task is bound to, if any: a new leader has to know it. */
export function findBindingWorker(state: SchedulerState, task: Task): Worker | undefined {
	return task.lateStarts.findLast(start => isBinding(state, task, start))?.worker;
}

function findLateStart({lateStarts}: Worker, task: string, run: number): LateStart | undefined {
	return lateStarts.find(late => late.task === task && late.run === run);
}

/** Notes that a start without an answer is sent once more. */
export function noteRepeatedStart({now}: SchedulerState, worker: Worker, {name, run}: Task): void {
	const late = findLateStart(worker, name, run);
	if (late) {
		late.openCalls++;
		late.forgetAt = now + lateStartMs;
	}
}

type StartEnded = Extract<SchedulerEvent, {type: 'start/ended'}>;

/** Notes an answer to one of the calls of a start: it will not be carried out any more, or again. A run that has begun although its task was returned is stopped first. */
export function noteAnsweredStart({now}: SchedulerState, worker: Worker, {task, run, outcome}: StartEnded): void {
	const late = findLateStart(worker, task, run);
	if (!late) {
		return;
	}

	if (outcome === 'started' && worker.tasks.get(task)?.run !== run) {
		late.isRuledOut = false;
		late.stopDueAt = now;
	} else if (--late.openCalls === 0) {
		late.forgetAt = now;
	}
}

/** Handles that a task leaves its worker. A start of a run that has been reported was carried out; another one is stopped at the worker. */
export function resolveLateStart({now}: SchedulerState, worker: Worker, task: Task): void {
	const late = findLateStart(worker, task.name, task.run);
	if (!late) {
		return;
	}

	if (task.isReported) {
		late.isRuledOut = true;
		late.stopDueAt = never;
		// A call is carried out once.
		late.forgetAt = task.startAttempts === 1 ? now : late.forgetAt;
	} else if (!late.isRuledOut) {
		late.stopDueAt = now;
	}
}
