/** Changes of a task's status. They also keep the open steps, the workers' used capacity and the jobs to be stored up to date. */
import {updateAssignedUse} from './account-use.js';
import {isBoundByLateStart, resolveLateStart} from './late-starts.js';
import {addEffect, noteDecision} from './logging.js';
import {ensureTask, hasWaitingTasks} from './occurrences.js';
import {isJobOpen} from './phases.js';
import {addResources, doesFit, noResources} from './resources.js';
import {never, stopRetryMs} from './timing.js';
import type {WorkerTarget} from './effects.js';
import type {Resources, StepDefinition} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** Capacity that each task of a step reserves at its worker; fillers reserve no processor. */
export function getStepNeed({need, isFiller}: StepDefinition): Resources {
	return isFiller ? {...need, cpu: 0} : need;
}

/** Capacity that a task reserves at its worker. */
export function getNeed(task: Task): Resources {
	return getStepNeed(task.step.definition);
}

/** Addresses an order to the worker's current incarnation. */
export function getTarget(worker: Worker): WorkerTarget {
	return {
		id: worker.id, bornAt: worker.bornAt, address: worker.address, restarts: worker.restarts,
	};
}

/** Capacity of a worker that no task has reserved, and that no start meant for its former incarnation may still take. */
export function getFree(worker: Worker): Resources {
	let free = addResources(worker.capacity, worker.used, -1);
	for (const {task, run, need, stopDueAt} of worker.lateStarts) {
		if (stopDueAt !== never && worker.tasks.get(task)?.run !== run) {
			free = addResources(free, need, -1);
		}
	}

	return free;
}

/** False if a worker certainly has no room for a need. Starts meant for its former incarnation may take some of the rest. */
export function hasRoomFor(need: Resources, {capacity, used}: Worker): boolean {
	return need.cpu <= capacity.cpu - used.cpu && need.memoryMb <= capacity.memoryMb - used.memoryMb && need.gpu <= capacity.gpu - used.gpu;
}

/** True if a worker's tasks have reserved more than its capacity, which may have shrunk since. */
export function isOverloaded(worker: Worker): boolean {
	return !doesFit(noResources, getFree(worker));
}

function addUse(worker: Worker, task: Task, sign: 1 | -1): void {
	worker.used = addResources(worker.used, getNeed(task), sign);
	worker.longRunningTasks += task.step.definition.isLongRunning ? sign : 0;
}

/** True if a run whose start was sent may still be active at the worker. */
export function hasSentTasks(worker: Worker): boolean {
	for (const task of worker.tasks.values()) {
		if (task.isSent) {
			return true;
		}
	}

	return false;
}

/** True if all steps that a step depends on are done. */
export function isStepReady(step: StepRun): boolean {
	return step.definition.dependsOn.every(number => {
		const earlier = step.occurrence.steps[number];
		return !earlier || earlier.doneCount === earlier.definition.count;
	});
}

/** Adds a step to the open steps if tasks of it may start now; otherwise removes it. */
export function updateOpenStep(state: SchedulerState, step: StepRun): void {
	const isOpen = isJobOpen(step.occurrence.job)
		&& step.occurrence.isDue
		&& isStepReady(step)
		&& hasWaitingTasks(step);
	if (isOpen) {
		state.openSteps.add(step);
		state.needsPlacement = true;
	} else {
		state.openSteps.delete(step);
	}
}

/** Assigns a task to a worker and reserves its capacity there. */
export function attachTask(state: SchedulerState, worker: Worker, task: Task): void {
	task.worker = worker;
	task.step.occurrence.assignedTasks++;
	worker.tasks.set(task.name, task);
	addUse(worker, task, 1);
	updateAssignedUse(state, task, 1);
}

/** Removes a task from its worker and releases its capacity. */
export function detachTask(state: SchedulerState, task: Task): void {
	const {worker} = task;
	if (!worker) {
		return;
	}

	worker.tasks.delete(task.name);
	addUse(worker, task, -1);
	updateAssignedUse(state, task, -1);
	resolveLateStart(state, worker, task);
	task.worker = undefined;
	task.step.occurrence.assignedTasks--;
	if (worker.tasks.size === 0) {
		worker.idleSince = state.now;
	}

	state.needsPlacement = true;
}

/** Records that a task has failed at a worker: it goes to another one if it can. */
export function noteFailedOn(task: Task, worker: Worker): void {
	task.failedOn = new Set([...task.failedOn, worker.id]);
}

/** Has the row of a task stored with the next commit. */
export function markChanged(state: SchedulerState, task: Task): void {
	const {job} = task.step.occurrence;
	state.dirtyJobs.add(job);
	job.live?.changedTasks.add(task);
}

/** Places a task on a worker; the start is sent once the placement is stored. */
export function placeTask(state: SchedulerState, task: Task, worker: Worker, run: number): void {
	task.status = 'placed';
	task.run = run;
	task.isSent = false;
	task.isReported = false;
	task.wasBound = isBoundByLateStart(state, task);
	task.startAttempts = 0;
	task.isRepeatDue = false;
	task.unansweredAt = never;
	task.conclusiveAfter = never;
	task.percent = 0;
	task.percentChangedAt = state.now;
	task.pacePercent = 100;
	attachTask(state, worker, task);
	updateOpenStep(state, task.step);
	markChanged(state, task);
	state.pendingActions.push({type: 'start', task, run});
}

/** Records that a run is known to be running. */
export function confirmTask(state: SchedulerState, task: Task): void {
	if (task.status !== 'placed') {
		return;
	}

	task.status = 'running';
	task.startedAt = state.now;
	task.percentChangedAt = state.now;
	const {job} = task.step.occurrence;
	if (job.live && !job.live.hasStarted) {
		job.live.hasStarted = true;
		job.live.phase = 'running';
		state.dirtyJobs.add(job);
	}
}

/** Why a task is returned: what ended its run, or kept it from beginning. */
export type ReturnReason = 'start-refused' | 'run-ended' | 'run-absent' | 'worker-restarted' | 'worker-gone' | 'lease-lapsed' | 'not-started' | 'gang-ended';

/** Returns a task to the waiting ones. Call it only if its run has certainly ended without a result. */
export function returnTask(state: SchedulerState, task: Task, reason: ReturnReason): void {
	noteReturn(state, task, reason);
	detachTask(state, task);
	task.status = 'waiting';
	task.isSent = false;
	task.isReported = false;
	task.readyAt = state.now;
	updateOpenStep(state, task.step);
	markChanged(state, task);
}

/** Logs the return of a task whose start was sent: from then on the task may start elsewhere. */
function noteReturn(state: SchedulerState, task: Task, reason: ReturnReason): void {
	const {worker} = task;
	if (!worker || !task.isSent) {
		return;
	}

	noteDecision(state, 'task-returned', {
		task: task.name,
		run: task.run,
		workerId: worker.id,
		bornAt: worker.bornAt,
		reason,
		sentMsAgo: Math.round(state.now - task.sentAt),
		heardMsAgo: Math.round(state.now - worker.lastAnswerAt),
		isReported: task.isReported,
		isUnanswered: task.unansweredAt !== never,
	});
}

/** Returns a task whose start was not sent or was refused, and with it its whole gang: the members only run together. */
export function returnWithGang(state: SchedulerState, task: Task, reason: ReturnReason = 'not-started'): void {
	returnTask(state, task, reason);
	stopGang(state, task.step);
}

/** Returns placed tasks whose starts were not sent, the latest first, until the others fit into their worker's capacity. */
export function returnExcessTasks(state: SchedulerState, worker: Worker): void {
	for (const task of [...worker.tasks.values()].toReversed()) {
		if (!isOverloaded(worker)) {
			return;
		}

		if (task.worker === worker && task.status === 'placed' && !task.isSent) {
			returnWithGang(state, task);
		}
	}
}

/** Asks the worker to stop a run; its capacity is released once a poll shows that the run has ended. */
export function requestStop(state: SchedulerState, task: Task): void {
	if (task.status !== 'placed' && task.status !== 'running' && task.status !== 'stopping') {
		return;
	}

	if (!task.isSent || !task.worker) {
		return;
	}

	task.status = 'stopping';
	task.isRepeatDue = false;
	task.conclusiveAfter = never;
	task.stopDueAt = state.now + stopRetryMs;
	addEffect(state, {
		type: 'worker/stop', worker: getTarget(task.worker), task: task.name, run: task.run, token: state.leadership.token,
	});
}

/** Marks a task as done, and with it all members of its gang. */
export function finishTask(state: SchedulerState, task: Task): void {
	const {step} = task;
	if (step.definition.isGang) {
		ensureTask(step, step.definition.count - 1);
	}

	const finished = step.definition.isGang ? step.tasks : [task];
	for (const member of finished) {
		if (member.status !== 'done') {
			detachTask(state, member);
			member.status = 'done';
			step.doneCount++;
			markChanged(state, member);
		}
	}

	updateOpenStep(state, step);
}

/** Ends a gang one of whose members does not run: the members whose starts were sent are stopped, the others are returned. */
export function stopGang(state: SchedulerState, {definition, tasks}: StepRun): void {
	if (!definition.isGang) {
		return;
	}

	for (const member of tasks) {
		if (member.status === 'placed' && !member.isSent) {
			returnTask(state, member, 'gang-ended');
		} else if (member.status !== 'stopping') {
			// Another stop would undo the confirmation of the first one.
			requestStop(state, member);
		}
	}
}
