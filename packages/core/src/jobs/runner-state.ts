/** The job runner of this entry host: local, and of use only while it holds the planner's lease. */
import type {Proposals} from '../log/proposals.js';
import type {JobId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {ListedTask, TaskAnswer} from './tasks.js';

/** The calls that started one attempt. Only a refusal of the very first call proves that it never ran. */
export type StartCall = {
	readonly attempt: number;
	calls: number;
	state: 'calling' | 'started' | 'refused' | 'unknown';
	callAt: Instant;
};

/** An attempt that must give way, and what its checkpoint held when that was found. */
export type Displacement = {readonly attempt: number; readonly checkpointMs: number};

export type JobRunnerState = {
	tasks: readonly ListedTask[];
	/** When the list of tasks came, by this host's clock. */
	tasksAt: Instant | undefined;
	nextListAt: Instant;
	nextRunAt: Instant;
	nextPlanAt: Instant;
	/** Fleet offset at the latest plan: nothing new is planned before something changes or some time has passed. */
	plannedOffset: Offset;
	/** The record about each job or worker that is on its way to the log. */
	readonly proposals: Proposals<string>;
	readonly starts: Map<JobId, StartCall>;
	readonly displaced: Map<JobId, Displacement>;
	/** When to ask again that a task be checkpointed or stopped. */
	readonly stopAgainAt: Map<JobId, Instant>;
	/** What the platform answered about a job's task, where that is newer than the list. */
	readonly told: Map<JobId, TaskAnswer>;
	/** The most memory that each job was seen to use, where it is more than declared. */
	readonly seenMemory: Map<JobId, number>;
};

/** A runner that knows nothing yet. */
export function createJobRunnerState(): JobRunnerState {
	return {
		tasks: [],
		tasksAt: undefined,
		nextListAt: 0 as Instant,
		nextRunAt: 0 as Instant,
		nextPlanAt: 0 as Instant,
		plannedOffset: 0 as Offset,
		proposals: new Map(),
		starts: new Map(),
		displaced: new Map(),
		stopAgainAt: new Map(),
		told: new Map(),
		seenMemory: new Map(),
	};
}
