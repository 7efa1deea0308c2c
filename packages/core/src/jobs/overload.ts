/** Displaces tasks on workers that are leaving service, and displaces or throttles tasks on workers that are overloaded. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {hasRunLeft} from './validation.js';
import type {WorkerCapacity} from './placement.js';
import {compareLowestFirst, displaceTask, type RunningJob} from './runner.js';
import {throttleWorker} from './throttle.js';
import {maximumMemoryShare, getUsedMemory, isOverMemory} from './use.js';

/** Displaces resumable tasks on a host in a planned outage or move once no other task runs there: until then its drain has to wait anyway. */
export function displaceOnLeavingWorkers(state: State, running: readonly RunningJob[]): Effect[] {
	const leaving = running.filter(({current}) => state.fleet.hosts.get(current.worker)?.chain !== undefined);
	const workersWithOthers = new Set(leaving.filter(({job, task}) => !job.body.isResumable && isPossiblyRunning(task)).map(({current}) => current.worker));
	return leaving
		.filter(({job, current, task}) => job.body.isResumable && task?.state === 'running' && !workersWithOthers.has(current.worker))
		.flatMap(item => displaceTask(state, item));
}

/** A task that is not listed yet may already be running. */
function isPossiblyRunning(task: RunningJob['task']): boolean {
	return task === undefined || task.state === 'running';
}

/** Displaces and throttles tasks on workers whose reported use exceeds their memory or cores. */
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

/** Displaces as many tasks as are needed to bring a worker's memory use below its limit; none if the task is alone there or all stay within what they declare. */
function displaceForMemory(state: State, onWorker: readonly RunningJob[], memoryBytes: number): Effect[] {
	if (onWorker.length < 2 || !onWorker.some(item => isOverMemory(item))) {
		return [];
	}

	const effects: Effect[] = [];
	let excess = sumOf(onWorker, getUsedMemory) - (memoryBytes * maximumMemoryShare);
	for (const item of listInDisplacementOrder(onWorker)) {
		if (excess <= 0) {
			break;
		}

		excess -= getUsedMemory(item);
		effects.push(...displaceTask(state, item));
	}

	return effects;
}

/**
 * Tasks that use more memory than they declare come first, those that lose least by a stop before the others, then the lowest class.
 * Other tasks are displaced only in favour of urgent tasks that exceed what they declare, and only if they are resumable and so lose no run.
 */
function listInDisplacementOrder(onWorker: readonly RunningJob[]): RunningJob[] {
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
