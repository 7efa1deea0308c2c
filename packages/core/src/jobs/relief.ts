/** Makes room: for urgent jobs, on workers that leave, and where tasks use more than a worker has. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {hasRunLeft} from './judge.js';
import type {WorkerCapacity} from './placement.js';
import {compareLowestFirst, displaceTask, type RunningJob} from './runner.js';
import type {Job} from './state.js';
import {throttleWorker} from './throttle.js';
import {fullMemoryShare, getUsedMemory, isOverMemory} from './use.js';

/** Resumable tasks on a host that is out by plan give way once no other task runs there: until then its drain has to wait anyway. */
export function clearLeavingWorkers(state: State, running: readonly RunningJob[]): Effect[] {
	const leaving = running.filter(({current}) => state.fleet.hosts.get(current.worker)?.chain !== undefined);
	const held = new Set(leaving.filter(({job, task}) => !job.body.isResumable && isPresent(task)).map(({current}) => current.worker));
	return leaving
		.filter(({job, current, task}) => job.body.isResumable && task?.state === 'running' && !held.has(current.worker))
		.flatMap(item => displaceTask(state, item));
}

/** A task that is not listed yet may run. */
function isPresent(task: RunningJob['task']): boolean {
	return task === undefined || task.state === 'running';
}

/** Displaces the lowest class first until an urgent job would fit on one worker. */
export function clearForUrgent(state: State, running: readonly RunningJob[], urgent: readonly Job[], capacities: readonly WorkerCapacity[]): Effect[] {
	return urgent.flatMap(job => {
		const choice = capacities
			.filter(({worker}) => isWorkerOpen(state, job, worker))
			.map(capacity => chooseDisplaced(running, capacity, job))
			.filter(displaced => displaced !== undefined)
			.toSorted((a, b) => a.length - b.length)
			.at(0);
		return (choice ?? []).flatMap(item => displaceTask(state, item));
	});
}

/** Throttles or displaces where the reported use passes what a worker has. */
export function relieveWorkers(state: State, running: readonly RunningJob[], capacities: readonly WorkerCapacity[]): Effect[] {
	const byWorker = new Map<HostId, RunningJob[]>();
	for (const item of running.filter(({task}) => task?.state === 'running')) {
		const {worker} = item.current;
		byWorker.set(worker, [...byWorker.get(worker) ?? [], item]);
	}

	return capacities.flatMap(({worker, cores, memoryBytes}) => {
		const onWorker = byWorker.get(worker) ?? [];
		return [...relieveMemory(state, onWorker, memoryBytes), ...throttleWorker(onWorker, cores)];
	});
}

/** As many tasks give way as bring a worker's memory below its limit. Where all use what they declare, or one is alone, none needs to. */
function relieveMemory(state: State, onWorker: readonly RunningJob[], memoryBytes: number): Effect[] {
	if (onWorker.length < 2 || !onWorker.some(item => isOverMemory(item))) {
		return [];
	}

	const effects: Effect[] = [];
	let excess = sumOf(onWorker, getUsedMemory) - (memoryBytes * fullMemoryShare);
	for (const item of listInOrderOfRelief(onWorker)) {
		if (excess <= 0) {
			break;
		}

		excess -= getUsedMemory(item);
		effects.push(...displaceTask(state, item));
	}

	return effects;
}

/**
 * Tasks beyond what they declare, those that lose least by a stop first, then the lowest class first.
 * Others give way only to urgent ones beyond what they declare, and only if they lose no run.
 */
function listInOrderOfRelief(onWorker: readonly RunningJob[]): RunningJob[] {
	const isUrgent = (item: RunningJob) => item.job.body.jobClass === 'urgent';
	const hasUrgentOver = onWorker.some(item => isUrgent(item) && isOverMemory(item));
	const rank = (item: RunningJob) => [
		isOverMemory(item) && item.job.body.isResumable,
		isOverMemory(item) && hasRunLeft(item.job),
		isOverMemory(item),
		hasUrgentOver && item.job.body.isResumable,
	].indexOf(true);
	return onWorker
		.filter(item => !isUrgent(item) && rank(item) !== -1)
		.toSorted((a, b) => rank(a) - rank(b) || compareLowestFirst(a, b));
}

function isWorkerOpen(state: State, job: Job, worker: WorkerCapacity['worker']): boolean {
	const host = state.fleet.hosts.get(worker);
	return host?.pool === job.body.pool && !host.isDown && host.chain === undefined;
}

/** The fewest low tasks whose end would make room on a worker; nothing if all of them would not. */
function chooseDisplaced(running: readonly RunningJob[], capacity: WorkerCapacity, urgent: Job): RunningJob[] | undefined {
	const onWorker = running.filter(item => item.current.worker === capacity.worker);
	const free = {
		cores: capacity.cores - sumOf(onWorker, item => item.job.body.cores),
		memoryBytes: capacity.memoryBytes - sumOf(onWorker, item => item.job.body.memoryBytes),
		accelerators: capacity.accelerators - sumOf(onWorker, item => item.job.body.accelerators),
	};
	const displaced: RunningJob[] = [];
	for (const item of onWorker.filter(({job}) => job.body.isResumable && job.body.jobClass !== 'urgent').toSorted(compareLowestFirst)) {
		displaced.push(item);
		free.cores += item.job.body.cores;
		free.memoryBytes += item.job.body.memoryBytes;
		free.accelerators += item.job.body.accelerators;
		const {cores, memoryBytes, accelerators} = urgent.body;
		if (cores <= free.cores && memoryBytes <= free.memoryBytes && accelerators <= free.accelerators) {
			return displaced;
		}
	}

	return undefined;
}

function sumOf(items: readonly RunningJob[], measure: (item: RunningJob) => number): number {
	return items.reduce((sum, item) => sum + measure(item), 0);
}
