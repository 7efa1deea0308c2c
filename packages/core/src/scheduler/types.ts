/** Data types of the scheduler: jobs with their steps and tasks, queues, pools, workers and machines. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Milliseconds of a host's monotonic clock; meaningful only within one process. */
export type SteadyMs = number;
export type QueueName = string & {readonly __name?: 'QueueName'};
export type PoolName = string & {readonly __name?: 'PoolName'};
/** Stays the same across restarts: one incarnation of a worker's process is identified by this id together with its `bornAt`. */
export type WorkerId = string & {readonly __name?: 'WorkerId'};
export type MachineId = string & {readonly __name?: 'MachineId'};
/** `JOB.OCCURRENCE.STEP.INDEX` */
export type TaskName = string & {readonly __name?: 'TaskName'};
/** Increases with every change of the leader; workers and machines refuse orders that carry a lower token than they have seen. */
export type FencingToken = number & {readonly __name?: 'FencingToken'};
export type WaveNumber = number & {readonly __name?: 'WaveNumber'};
/** Name of a client account, on whose behalf callers submit jobs. */
export type AccountName = string & {readonly __name?: 'AccountName'};

/** Processor in thousandths of a core, memory in MB, accelerators. */
export type Resources = {readonly cpu: number; readonly memoryMb: number; readonly gpu: number};

/** One step of a job: `count` equal tasks. */
export type StepDefinition = {
	readonly count: number;
	readonly need: Resources;
	readonly estimateMs: number;
	/** Indexes of earlier steps whose tasks must all be done first. */
	readonly dependsOn: readonly number[];
	readonly isCheckpointing: boolean;
	/** Gang scheduling: the tasks run only together and end together. */
	readonly isGang: boolean;
	readonly isSameRack: boolean;
	/** Label that a worker must have; empty for none. */
	readonly requiredLabel: string;
	/** Rack that holds the step's data; empty for none. */
	readonly dataRack: string;
	/** Maximum number of tasks of the step on one worker; 0 for no limit. */
	readonly maxPerWorker: number;
	readonly isSpeculative: boolean;
	/** Runs until the job is cancelled; a run is restarted whatever its outcome. */
	readonly isLongRunning: boolean;
	/** Upper bound of a serving task's tail latency; 0 for a task that serves no requests. */
	readonly latencyTargetMs: number;
	/** Best-effort work that uses only the processor time that a worker's other tasks leave idle. */
	readonly isFiller: boolean;
	/** How many tasks of a long-running step may be unavailable at once because of the scheduler's own actions. */
	readonly maxUnavailable: number;
};

/** A job as its caller submitted it. */
export type JobDefinition = {
	readonly jobId: JobId;
	readonly queue: QueueName;
	/** The account whose key the caller has shown. Absent for jobs of public queues and in records of earlier versions. */
	readonly account?: AccountName | undefined;
	/** The pool that served the queue at the time of acceptance; used when the queue is gone. */
	readonly pool: PoolName;
	/** The queue's limit of failed attempts per task at the time of acceptance; used when the queue is gone. Absent in records of earlier versions. */
	readonly maxAttempts?: number | undefined;
	readonly spec: string;
	/** Empty for a job that has ended and whose definition was shortened. */
	readonly steps: readonly StepDefinition[];
	/** Number of occurrences of a periodic job; 0 for a job that runs once, immediately. */
	readonly runCount: number;
	readonly firstRunAt: Instant;
	readonly intervalMs: number;
	/** When its caller first sent it, if a host refused it then. */
	readonly sentAt?: Instant | undefined;
};

/** A job that a host refused, and when its caller is known to have first sent it. */
export type RefusedJob = {readonly jobId: JobId; readonly sentAt: Instant};

/** Present for a queue whose steps may start only with tickets of the advice service. */
export type AdvicePolicy = {readonly validMs: number};

/** A queue of the current configuration. */
export type Queue = {
	readonly name: QueueName;
	readonly host: string;
	readonly pathPrefix: string;
	readonly pool: PoolName;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly maxAttempts: number;
	readonly stretch: number;
	readonly latencyTargetMs: number;
	readonly timeoutMs: number;
	readonly advice: AdvicePolicy | undefined;
	/** Calls need no API key. Absent in records of earlier versions. */
	readonly isPublic?: boolean | undefined;
};

/** A client account of the operators' configuration. */
export type ClientAccount = {
	readonly name: AccountName;
	/** Jobs a second that are within the account's share; also its weight when accounts compete for capacity. */
	readonly weight: number;
	/** What the account may have running over all pools; 0 for no limit. */
	readonly quota: Resources;
	/** SHA-256 digests of the account's API keys, in base64. */
	readonly keyDigests: readonly string[];
};

export type PoolConfig = {
	readonly name: PoolName;
	/** Machines of the spare pool are switched off and cost nothing. */
	readonly isSpare: boolean;
	readonly maxConnections: number;
	/** Path of the workers' health check. */
	readonly healthPath: string;
	/** Whether workers refuse runs that do not fit their free capacity. */
	readonly hasAdmissionCheck: boolean;
};

/** What one client may send to an entry host; sizes in bytes, times in milliseconds. */
export type ClientLimits = {
	/** Request line and headers. */
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** From the first byte of a request to the end of its headers. */
	readonly headerTimeoutMs: number;
	/** How long a connection stays open without any byte of a request or an answer. */
	readonly idleTimeoutMs: number;
};

/** The operators' configuration. */
export type FleetConfig = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly pools: readonly PoolConfig[];
	/** Absent if the operators set none. */
	readonly clientLimits?: ClientLimits | undefined;
	/** Absent if the operators keep no client accounts; calls then need no API keys. */
	readonly accounts?: readonly ClientAccount[] | undefined;
};

/** A worker as it reports itself to the registry. */
export type WorkerEntry = {
	readonly id: WorkerId;
	/** When the worker's process started; identifies its incarnation. */
	readonly bornAt: number;
	/** Rises with each report of one incarnation; absent if the worker does not tell. */
	readonly sequence?: number | undefined;
	readonly address: string;
	readonly pool: PoolName;
	readonly availabilityZone: string;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	readonly isDraining: boolean;
	/** Minimum time until a draining worker leaves, as of the time of its report. */
	readonly remainingMs: number | undefined;
	readonly machineId: MachineId | undefined;
};

export type MachineState = 'up' | 'moving' | 'upkeep' | 'down';

export type MachineEntry = {
	readonly id: MachineId;
	readonly pool: PoolName;
	readonly state: MachineState;
	readonly availabilityZone: string;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	readonly workerId: WorkerId | undefined;
};

/** A maintenance wave: every listed machine must complete its upkeep before the deadline. */
export type WaveDefinition = {
	readonly wave: WaveNumber;
	readonly machineIds: readonly MachineId[];
	/** Seconds since publication. */
	readonly deadlineS: number;
	readonly maxDown: number;
};

/** The status of a job as callers see it. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/**
 * The outcome of a run at a worker. `lapsed`: its lease expired; `broken`: another member of its gang ended without a result;
 * `alone`: the other members of its gang did not start in time.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export type RunningRow = {
	readonly task: TaskName;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	/** Measured tail latency in ms of a serving task; processor use of any other task. */
	readonly reading: number | undefined;
};

export type EndedRow = {
	/** Sequence number of the run end, counted from 1 within one incarnation of the worker. */
	readonly number: number;
	readonly task: TaskName;
	readonly run: number;
	readonly how: RunEnd;
	readonly checkpoint: string;
};

/**
 * How much the loss of a worker tells against a task that ran there. `sole`: the worker fell silent just after the run had
 * begun, and no other had begun there lately; `shared`: the run had begun lately; `slight`: the run had begun earlier, or many workers were lost at once.
 */
export type Blame = 'sole' | 'shared' | 'slight';

/** The loss of a worker's incarnation while a run of a task was on it. */
export type TaskCrash = {
	readonly run: number;
	readonly workerId: WorkerId;
	readonly bornAt: number;
	readonly at: Instant;
	/** The incarnation is known to have ended; until then its worker has only been silent. */
	readonly isConfirmed: boolean;
	readonly blame: Blame;
};

/** Stored state of one task; only tasks that differ from their initial state have a row. */
export type ProgressRow = {
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
	readonly status: 'waiting' | 'placed' | 'done';
	readonly run: number;
	readonly failures: number;
	/** The worker that the run was assigned to; empty when waiting or done. */
	readonly workerId: WorkerId;
	readonly workerBornAt: number;
	readonly checkpoint: string;
	/** Losses of workers that may be blamed on the task. Absent in records of earlier versions, and if there are none. */
	readonly crashes?: readonly TaskCrash[] | undefined;
};

/** Occurrences from the first to the last, both included. */
export type OccurrenceRange = readonly [first: number, last: number];

/** Name of a record with some rows of a job: `OCCURRENCE.STEP.GROUP` */
export type PartName = string & {readonly __name?: 'PartName'};

/** Stored progress of one job; each record replaces the one before. */
export type JobProgress = {
	readonly phase: Exclude<JobPhase, 'cancelled'>;
	readonly finishedOccurrences: readonly OccurrenceRange[];
	/** Empty if the rows are stored in parts. */
	readonly rows: readonly ProgressRow[];
	/** Each part holds the rows of so many successive tasks of a step. Absent if the rows are not stored in parts. */
	readonly rowsPerPart?: number | undefined;
	/** When the job reached its final phase; 0 before that. */
	readonly finishedAt: Instant;
};

/** A claim of leadership, a heartbeat of the leader, or its release. */
export type LeaseRecord = {
	readonly holder: string;
	readonly token: FencingToken;
	/** The holder gives up leadership. */
	readonly isReleased: boolean;
	/** Given if the holder gives up leadership because it cannot keep up: how far it falls short of the capacity that a leader needs. */
	readonly capacityShortfall?: number | undefined;
	/** Absent in claims, and in records of earlier versions: then any lease may be open. */
	readonly openLeases?: OpenLeases | undefined;
};

/** What a successor must know of the leader's calls to workers. */
export type OpenLeases = {
	/** Workers whose runs may go on beyond the leases that leaders request. `leaseMs` counts from the sending of the record: hosts share no clock. */
	readonly workers: ReadonlyArray<{readonly workerId: WorkerId; readonly leaseMs: number}>;
	/** Placed tasks whose start may not have been carried out, or by another process than the placement names. */
	readonly unconfirmedTasks: readonly TaskName[];
};

export type WaveProgress = {
	readonly wave: WaveNumber;
	readonly doneMachines: readonly MachineId[];
	readonly isCompleted: boolean;
};

/** What was learned of run times under one key; each list of buckets holds pairs of the distance to the bucket before and a number in proportion to its runs. */
export type RunTimesRow = {
	/** Empty for the whole fleet. */
	readonly queue: QueueName;
	readonly shape: number;
	readonly runs: number;
	readonly durationError: number;
	readonly ratioError: number;
	readonly durations: readonly number[];
	readonly ratios: readonly number[];
};

/** What the leader has learned of run times, under all keys. */
export type RunTimesRecord = {readonly type: 'run-times'; readonly rows: readonly RunTimesRow[]};

/** A change that any entry host may write: submitted jobs, cancel requests, refusals, and their removal. */
export type IntakeRecord
	= | {readonly type: 'job'; readonly job: JobDefinition}
		| {readonly type: 'cancel'; readonly jobId: JobId}
		| {readonly type: 'job-removed'; readonly jobId: JobId}
		| {readonly type: 'cancel-removed'; readonly jobId: JobId}
	/** What one host process, `holder`, has refused lately. */
		| {readonly type: 'refusals'; readonly holder: string; readonly jobs: readonly RefusedJob[]}
		| {readonly type: 'refusals-removed'; readonly holder: string};

/** How long a job of a pool's queues of one priority would wait if it arrived now. */
export type PoolWait = {
	readonly pool: PoolName;
	readonly priority: number;
	/** Until the first start of a job that can meet its objective: only jobs in progress and jobs that can meet theirs are ahead of it. */
	readonly startMs: number;
	/** Until the pool has done all work that is ahead of a job that cannot meet its objective, including other late jobs. */
	readonly backlogMs: number;
	/** The same if later arrivals that can meet their objective are counted as well, because they go before a late job. */
	readonly delayMs: number;
	/** `delayMs` of an excess job: the jobs that are not excess are ahead of it whatever their priority. */
	readonly excessMs: number;
	/** The most of each resource that is free at any one worker, if the pool is not full and only larger tasks wait; a job whose tasks fit has no wait. */
	readonly room?: Resources | undefined;
};

/** The fraction of the jobs of an account over its rate that is within its share. */
export type AccountShare = {readonly account: AccountName; readonly within: number};

/** What hosts need to know of the work at the leader. Pools, priorities and accounts without an entry have no wait, or are not over their rate. */
export type LoadFigures = {
	readonly token: FencingToken;
	readonly computedAt: Instant;
	readonly waits: readonly PoolWait[];
	readonly shares: readonly AccountShare[];
};

/** A change that only the leader writes. */
export type LedgerRecord
	= | {readonly type: 'lease'; readonly lease: LeaseRecord}
		| {readonly type: 'progress'; readonly jobId: JobId; readonly progress: JobProgress}
		| {readonly type: 'progress-removed'; readonly jobId: JobId}
		| {readonly type: 'progress-part'; readonly jobId: JobId; readonly part: PartName; readonly rows: readonly ProgressRow[]}
		| {readonly type: 'progress-part-removed'; readonly jobId: JobId; readonly part: PartName}
		| {readonly type: 'waves'; readonly waves: readonly WaveProgress[]}
	/** Machines with recent or open orders; stored before an order is sent. */
		| {readonly type: 'orders'; readonly machineIds: readonly MachineId[]}
		| {readonly type: 'config'; readonly config: FleetConfig}
		| RunTimesRecord
		| {readonly type: 'load'; readonly load: LoadFigures};
