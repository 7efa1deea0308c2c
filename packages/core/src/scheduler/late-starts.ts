/**
 * Starts without an answer. One may be carried out seconds later, also by the worker's next process, which has no record of a
 * stop that the former one confirmed. Until it is too late for that, its task starts on no other worker: there a second run
 * would go on beside the late one. At the same worker a later run may start once the present process cannot begin the
 * earlier one any more.
 */
import {never} from './timing.js';
import type {
	LateStart, SchedulerState, Task, Worker,
} from './state.js';

/** True if a start of the task's latest run may still be carried out by the present process of its worker. */
export function canStillBegin({lateStarts}: Worker, task: Task): boolean {
	return lateStarts.some(late => late.task === task.name && late.run === task.run && !late.isRuledOut);
}

/** True while a task may start only on the workers that may still carry out an earlier start of it. */
export function isBoundByLateStart({now}: SchedulerState, task: Task): boolean {
	return task.lateStarts.some(({late}) => late.forgetAt > now);
}

/** True if no earlier start of a task can begin a run beside one that a worker is given now. */
export function canStartBesideLate({now}: SchedulerState, task: Task, worker: Worker): boolean {
	return task.lateStarts.every(({worker: other, late}) => late.forgetAt <= now || (other === worker && late.isRuledOut === true));
}

/** The worker that a waiting task is bound to, if any: a new leader has to know it. */
export function findBindingWorker(state: SchedulerState, task: Task): Worker | undefined {
	return task.lateStarts.findLast(({late}) => late.forgetAt > state.now)?.worker;
}

function findLateStart({lateStarts}: Worker, task: string, run: number): LateStart | undefined {
	return lateStarts.find(late => late.task === task && late.run === run);
}

/** Notes that a start without an answer is sent once more. */
export function noteRepeatedStart(worker: Worker, {name, run}: Task): void {
	const late = findLateStart(worker, name, run);
	if (late) {
		late.openCalls++;
	}
}

/** Notes an answer to one of the calls of a start: it will not be carried out any more, or again. */
export function noteAnsweredStart({now}: SchedulerState, worker: Worker, {task, run}: {readonly task: string; readonly run: number}): void {
	const late = findLateStart(worker, task, run);
	if (late && --late.openCalls === 0) {
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
