/** Compares the resource use of tasks, as reported by the platform, with what their jobs declare. */
import type {JobId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {RunningJob} from './runner.js';
import type {Job} from './state.js';

/** Resources that a job needs on a worker, or that a worker has. */
export type JobSize = {readonly cores: number; readonly memoryBytes: number; readonly accelerators: number};

/** Limit of a worker's memory use where a task uses more than it declares: on a worker with full memory tasks fail. */
export const maximumMemoryShare = 0.9;
/** Use up to this factor of what is declared counts as within the declaration. */
const declaredUseTolerance = 1.1;

/** Cores that a task would use if it were not throttled. */
export function estimateUnthrottledCores({job, task}: RunningJob): number {
	return task ? task.usage.cores / task.throttle : job.body.cores;
}

/** Memory that a task uses, as reported. */
export function getUsedMemory({task}: RunningJob): number {
	return task?.usage.memoryBytes ?? 0;
}

/** Whether a task uses more memory than declared, beyond the tolerance. */
export function isOverMemory(item: RunningJob): boolean {
	return getUsedMemory(item) > item.job.body.memoryBytes * declaredUseTolerance;
}

/** Keeps the highest memory use of each job that exceeds what it declares, to size its next attempt. */
export function updateObservedMemory(state: State): void {
	const {tasks, observedMemory} = state.jobRunner;
	for (const {taskId, usage} of tasks) {
		const job = state.fleet.jobs.jobs.get(taskId);
		if (job && usage.memoryBytes > Math.max(job.body.memoryBytes, observedMemory.get(taskId) ?? 0)) {
			observedMemory.set(taskId, usage.memoryBytes);
		}
	}
}

/** The resources to reserve for a job's next attempt: the declared ones, with the observed memory use where that is higher. */
export function estimateSize({body}: Job, observedMemory: ReadonlyMap<JobId, number>): JobSize {
	return {
		cores: body.cores,
		memoryBytes: Math.max(body.memoryBytes, observedMemory.get(body.jobId) ?? 0),
		accelerators: body.accelerators,
	};
}

/** Whether a job's size fits into the total or the free capacity of a worker. */
export function doesFit(size: JobSize, capacity: JobSize): boolean {
	return size.cores <= capacity.cores && size.memoryBytes <= capacity.memoryBytes && size.accelerators <= capacity.accelerators;
}
