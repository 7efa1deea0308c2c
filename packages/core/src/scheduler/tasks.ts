/** Changes of a task's status. All bookkeeping of open steps, workers' room and stored progress hangs on these. */
import {addEffect} from './logging.js';
import {isJobOpen} from './phases.js';
import {addResources} from './resources.js';
import {never, stopRetryMs} from './timing.js';
import type {WorkerTarget} from './effects.js';
import type {Resources, RunEnd, StepDefinition} from './types.js';
import type {
	SchedulerState, StepRun, Task, Worker,
} from './state.js';

/** What a task of a step takes of a worker's room; fillers take no processor. */
export function getStepNeed({need, isFiller}: StepDefinition): Resources {
	return isFiller ? {...need, cpu: 0} : need;
}

/** What a task takes of a worker's room. */
export function getNeed(task: Task): Resources {
	return getStepNeed(task.step.definition);
}

/** Names the life of a worker that an order is meant for. */
export function getTarget(worker: Worker): WorkerTarget {
	return {id: worker.id, bornAt: worker.bornAt, address: worker.address};
}

/** What a worker has left. */
export function getFree(worker: Worker): Resources {
	return addResources(worker.capacity, worker.used, -1);
}

function addUse(worker: Worker, task: Task, sign: 1 | -1): void {
	worker.used = addResources(worker.used, getNeed(task), sign);
	worker.longRunningTasks += task.step.definition.isLongRunning ? sign : 0;
}

/** True if all steps that a step depends on are done. */
export function isStepReady(step: StepRun): boolean {
	return step.definition.dependsOn.every(number => {
		const earlier = step.occurrence.steps[number];
		return !earlier || earlier.doneCount === earlier.definition.count;
	});
}

/** Keeps the list of steps with tasks that may start. */
export function updateOpenStep(state: SchedulerState, step: StepRun): void {
	const isOpen = isJobOpen(step.occurrence.job)
		&& step.occurrence.isDue
		&& isStepReady(step)
		&& step.tasks.some(task => task.status === 'waiting');
	if (isOpen) {
		state.openSteps.add(step);
		state.needsPlacement = true;
	} else {
		state.openSteps.delete(step);
	}
}

/** Puts a task on a worker's list. */
export function attachTask(worker: Worker, task: Task): void {
	task.worker = worker;
	worker.tasks.set(task.name, task);
	addUse(worker, task, 1);
}

/** Gives a task's room back. */
export function detachTask(state: SchedulerState, task: Task): void {
	const {worker} = task;
	if (!worker) {
		return;
	}

	worker.tasks.delete(task.name);
	addUse(worker, task, -1);
	task.worker = undefined;
	if (worker.tasks.size === 0) {
		worker.idleSince = state.now;
	}

	state.needsPlacement = true;
}

/** Decides a start; it is sent once the decision is stored. */
export function placeTask(state: SchedulerState, task: Task, worker: Worker, run: number): void {
	task.status = 'placed';
	task.run = run;
	task.isSent = false;
	task.isReported = false;
	task.conclusiveAfter = never;
	task.percent = 0;
	task.percentChangedAt = state.now;
	task.pacePercent = 100;
	attachTask(worker, task);
	updateOpenStep(state, task.step);
	state.dirtyJobs.add(task.step.occurrence.job);
	state.pendingActions.push({type: 'start', task, run});
}

/** Takes down that a run is at work. */
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

/** The run of a task is surely over without a result: the task waits again. */
export function returnTask(state: SchedulerState, task: Task): void {
	detachTask(state, task);
	task.status = 'waiting';
	task.isSent = false;
	task.isReported = false;
	task.readyAt = state.now;
	updateOpenStep(state, task.step);
	state.dirtyJobs.add(task.step.occurrence.job);
}

/** Asks the worker to end a run; its room is free once the end is listed. */
export function requestStop(state: SchedulerState, task: Task): void {
	if (task.status !== 'placed' && task.status !== 'running' && task.status !== 'stopping') {
		return;
	}

	if (!task.isSent || !task.worker) {
		return;
	}

	task.status = 'stopping';
	task.conclusiveAfter = never;
	task.stopDueAt = state.now + stopRetryMs;
	addEffect(state, {
		type: 'worker/stop', worker: getTarget(task.worker), task: task.name, run: task.run, token: state.leadership.token,
	});
}

/** A task is done for good; with it all of its gang. */
export function finishTask(state: SchedulerState, task: Task): void {
	const {step} = task;
	const finished = step.definition.isGang ? step.tasks : [task];
	for (const member of finished) {
		if (member.status !== 'done') {
			detachTask(state, member);
			member.status = 'done';
			step.doneCount++;
		}
	}

	state.dirtyJobs.add(step.occurrence.job);
	updateOpenStep(state, step);
}

/** Stops the other members when one run of a gang is over without a result. */
export function stopGang(state: SchedulerState, step: StepRun, how: RunEnd): void {
	if (!step.definition.isGang || how === 'done') {
		return;
	}

	for (const member of step.tasks) {
		requestStop(state, member);
	}
}
