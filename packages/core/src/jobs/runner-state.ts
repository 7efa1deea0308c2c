/** State of the job runner on this entry host. It is not replicated, and used only while this host holds the planner lease. */
import type {Proposals} from '../log/proposals.js';
import type {JobId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {ListedTask, TaskAnswer} from './tasks.js';

/** The start calls for one attempt. Only a refusal of the first call proves that the attempt never ran. */
export type StartCall = {
	readonly attempt: number;
	callCount: number;
	state: 'calling' | 'started' | 'refused' | 'unknown';
	/** When to call again if there was no answer. */
	retryAt: Instant;
};

/** An attempt that is being displaced, and the work saved in its checkpoint when the displacement began. */
export type Displacement = {readonly attempt: number; readonly checkpointMs: number};

export type JobRunnerState = {
	tasks: readonly ListedTask[];
	/** When the list of tasks was received, by this host's clock. */
	tasksListedAt: Instant | undefined;
	nextListAt: Instant;
	nextRunAt: Instant;
	nextPlanAt: Instant;
	/** Log offset at the latest plan. The next plan is made when the offset has changed or `nextPlanAt` has come. */
	plannedOffset: Offset;
	/** The pending proposal about each job, each worker and the lease renewals. */
	readonly proposals: Proposals<string>;
	readonly starts: Map<JobId, StartCall>;
	readonly displaced: Map<JobId, Displacement>;
	/** When to repeat the checkpoint or stop call for a task. */
	readonly stopRetryAt: Map<JobId, Instant>;
	/** The platform's latest answer about a job's task, which may be newer than the list. */
	readonly taskAnswers: Map<JobId, TaskAnswer>;
	/** Highest observed memory use of each job that exceeded its declared memory. */
	readonly observedMemory: Map<JobId, number>;
};

/** The initial, empty state. */
export function createJobRunnerState(): JobRunnerState {
	return {
		tasks: [],
		tasksListedAt: undefined,
		nextListAt: 0 as Instant,
		nextRunAt: 0 as Instant,
		nextPlanAt: 0 as Instant,
		plannedOffset: 0 as Offset,
		proposals: new Map(),
		starts: new Map(),
		displaced: new Map(),
		stopRetryAt: new Map(),
		taskAnswers: new Map(),
		observedMemory: new Map(),
	};
}
