/** What tasks really use, by the platform's reports, against what their jobs declare. */
import type {JobId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {RunningJob} from './runner.js';
import type {Job} from './state.js';

/** What a job takes of a worker. */
export type JobSize = {readonly cores: number; readonly memoryBytes: number; readonly accelerators: number};

/** Beside a task that uses more than it declares, a worker's memory is filled only so far, since a full one fails tasks. */
export const fullMemoryShare = 0.9;
/** Use within this factor of what is declared is as declared. */
const tolerance = 1.1;

/** Cores that a task would use if it were not throttled. */
export function computeWantedCores({job, task}: RunningJob): number {
	return task ? task.usage.cores / task.throttle : job.body.cores;
}

/** Memory that a task uses. */
export function getUsedMemory({task}: RunningJob): number {
	return task?.usage.memoryBytes ?? 0;
}

/** Whether a task uses clearly more memory than declared. */
export function isOverMemory(item: RunningJob): boolean {
	return getUsedMemory(item) > item.job.body.memoryBytes * tolerance;
}

/** Keeps the most memory that each job was seen to use beyond what it declares, for its next attempt. */
export function noteUse(state: State): void {
	const {tasks, seenMemory} = state.jobRunner;
	for (const {taskId, usage} of tasks) {
		const job = state.fleet.jobs.jobs.get(taskId);
		if (job && usage.memoryBytes > Math.max(job.body.memoryBytes, seenMemory.get(taskId) ?? 0)) {
			seenMemory.set(taskId, usage.memoryBytes);
		}
	}
}

/** What to keep free for a job's next attempt: what it declares, or what an earlier attempt was seen to use. */
export function estimateSize({body}: Job, seenMemory: ReadonlyMap<JobId, number>): JobSize {
	return {
		cores: body.cores,
		memoryBytes: Math.max(body.memoryBytes, seenMemory.get(body.jobId) ?? 0),
		accelerators: body.accelerators,
	};
}

/** Whether a size fits into what a worker has, or has left. */
export function doesFit(size: JobSize, room: JobSize): boolean {
	return size.cores <= room.cores && size.memoryBytes <= room.memoryBytes && size.accelerators <= room.accelerators;
}
