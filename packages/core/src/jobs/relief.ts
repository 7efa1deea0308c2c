/** Makes room: for urgent jobs, on workers that leave, and where tasks use more than a worker has. */
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {jobClasses} from './bodies.js';
import type {WorkerCapacity} from './placement.js';
import {displaceTask, type RunningJob} from './runner.js';
import type {Job} from './state.js';

const throttleShare = 0.5;
/** Tasks give way before a worker's memory is full, since a full one fails them. */
const fullMemoryShare = 0.95;

/** Resumable tasks on a host that is out by plan give way once no other task runs there: until then its drain has to wait anyway. */
export function clearLeavingWorkers(state: State, running: readonly RunningJob[]): Effect[] {
	const leaving = running.filter(({current}) => state.fleet.hosts.get(current.worker)?.chain !== undefined);
	const held = new Set(leaving.filter(({job, task}) => !job.body.isResumable && isPresent(task)).map(({current}) => current.worker));
	return leaving
		.filter(({current, task}) => task?.state === 'running' && !held.has(current.worker))
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

/** Throttles or displaces where the reported use passes what a worker has, the lowest class first. */
export function relieveWorkers(state: State, running: readonly RunningJob[], capacities: readonly WorkerCapacity[]): Effect[] {
	return capacities.flatMap(capacity => {
		const lowest = running.filter(item => item.current.worker === capacity.worker && item.task?.state === 'running').toSorted(compareLowestFirst).at(0);
		if (!lowest) {
			return [];
		}

		if (capacity.usedMemoryBytes > capacity.memoryBytes * fullMemoryShare) {
			return displaceTask(state, lowest);
		}

		return capacity.usedCores > capacity.cores ? throttleTask(lowest) : [];
	});
}

function throttleTask({job, current, task}: RunningJob): Effect[] {
	return job.body.jobClass === 'urgent' || task === undefined || task.throttle <= throttleShare
		? []
		: [{
			type: 'task/throttle', jobId: job.body.jobId, attempt: current.attempt, share: throttleShare,
		}];
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

function compareLowestFirst(a: RunningJob, b: RunningJob): number {
	return jobClasses.indexOf(b.job.body.jobClass) - jobClasses.indexOf(a.job.body.jobClass) || b.job.offset - a.job.offset;
}

function sumOf(items: readonly RunningJob[], measure: (item: RunningJob) => number): number {
	return items.reduce((sum, item) => sum + measure(item), 0);
}
