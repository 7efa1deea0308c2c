/** Makes room on workers that leave, and where tasks use more than a worker has. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {hasRunLeft} from './validation.js';
import type {WorkerCapacity} from './placement.js';
import {compareLowestFirst, displaceTask, type RunningJob} from './runner.js';
import {throttleWorker} from './throttle.js';
import {fullMemoryShare, getUsedMemory, isOverMemory} from './usage.js';

/** Resumable tasks on a host that is out by plan give way once no other task runs there: until then its drain has to wait anyway. */
export function displaceOnLeavingWorkers(state: State, running: readonly RunningJob[]): Effect[] {
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

/** Throttles or displaces where the reported use passes what a worker has. */
export function displaceAndThrottle(state: State, running: readonly RunningJob[], capacities: readonly WorkerCapacity[]): Effect[] {
	const byWorker = new Map<HostId, RunningJob[]>();
	for (const item of running.filter(({task}) => task?.state === 'running')) {
		const {worker} = item.current;
		byWorker.set(worker, [...byWorker.get(worker) ?? [], item]);
	}

	return capacities.flatMap(({worker, cores, memoryBytes}) => {
		const onWorker = byWorker.get(worker) ?? [];
		return [...displaceForMemory(state, onWorker, memoryBytes), ...throttleWorker(onWorker, cores)];
	});
}

/** As many tasks give way as bring a worker's memory below its limit. Where all use what they declare, or one is alone, none needs to. */
function displaceForMemory(state: State, onWorker: readonly RunningJob[], memoryBytes: number): Effect[] {
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

function sumOf(items: readonly RunningJob[], measure: (item: RunningJob) => number): number {
	return items.reduce((sum, item) => sum + measure(item), 0);
}
