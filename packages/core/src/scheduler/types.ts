/** Data of the scheduler: jobs of steps and tasks, queues, pools, workers and machines. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Milliseconds of a host's monotonic clock; only meaningful within one process. */
export type SteadyMs = number;
export type QueueName = string & {readonly __name?: 'QueueName'};
export type PoolName = string & {readonly __name?: 'PoolName'};
/** One life of a worker's process is named by its id and the instant of its birth. */
export type WorkerId = string & {readonly __name?: 'WorkerId'};
export type MachineId = string & {readonly __name?: 'MachineId'};
/** `JOB.OCCURRENCE.STEP.INDEX` */
export type TaskName = string & {readonly __name?: 'TaskName'};
/** Rises with every change of the leader; workers and machines refuse orders with a lower one. */
export type FencingToken = number & {readonly __name?: 'FencingToken'};
export type WaveNumber = number & {readonly __name?: 'WaveNumber'};

/** Processor in thousandths of a core, memory in MB, accelerators. */
export type Resources = {readonly cpu: number; readonly memoryMb: number; readonly gpu: number};

/** One step of a job: `count` equal tasks. */
export type StepDefinition = {
	readonly count: number;
	readonly need: Resources;
	readonly estimateMs: number;
	/** Numbers of earlier steps whose tasks must all be done. */
	readonly dependsOn: readonly number[];
	readonly isCheckpointing: boolean;
	/** Tasks that work only together and end together. */
	readonly isGang: boolean;
	readonly isSameRack: boolean;
	/** Label that a worker must have; empty for none. */
	readonly requiredLabel: string;
	/** Rack that holds the step's data; empty for none. */
	readonly dataRack: string;
	/** Most tasks of the step on one worker; 0 for no bound. */
	readonly maxPerWorker: number;
	readonly isSpeculative: boolean;
	/** Runs until the job is cancelled and is restarted however it ends. */
	readonly isLongRunning: boolean;
	/** Bound of the tail latency of a serving task; 0 where the task serves nobody. */
	readonly latencyTargetMs: number;
	/** Takes only what the other tasks of a worker leave unused. */
	readonly isFiller: boolean;
	/** How many tasks of a long-running step may be away at once through the scheduler's actions. */
	readonly maxUnavailable: number;
};

/** A job as its caller submitted it. */
export type JobDefinition = {
	readonly jobId: JobId;
	readonly queue: QueueName;
	/** The pool that served the queue at the time of acceptance; used when the queue is gone. */
	readonly pool: PoolName;
	/** How often a task might fail at the time of acceptance; used when the queue is gone. Records of earlier versions lack it. */
	readonly maxAttempts?: number | undefined;
	readonly spec: string;
	readonly steps: readonly StepDefinition[];
	/** 0: once, at once. */
	readonly runCount: number;
	readonly firstRunAt: Instant;
	readonly intervalMs: number;
};

/** Advice that a queue needs before its steps may start. */
export type AdvicePolicy = {readonly validMs: number};

/** A queue of the configuration in force. */
export type Queue = {
	readonly name: QueueName;
	readonly host: string;
	readonly pathPrefix: string;
	readonly pool: PoolName;
	/** 0 comes first. */
	readonly priority: number;
	readonly maxAttempts: number;
	readonly stretch: number;
	readonly latencyTargetMs: number;
	readonly timeoutMs: number;
	readonly advice: AdvicePolicy | undefined;
};

export type PoolConfig = {
	readonly name: PoolName;
	/** Machines of the spare pool are off and cost nothing. */
	readonly isSpare: boolean;
	readonly maxConnections: number;
	/** Path of the workers' health check. */
	readonly healthPath: string;
	/** Whether workers refuse what does not fit. */
	readonly hasAdmissionCheck: boolean;
};

/** The configuration in force. */
export type FleetConfig = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly pools: readonly PoolConfig[];
};

/** A worker as it reports itself to service discovery. */
export type WorkerEntry = {
	readonly id: WorkerId;
	readonly bornAt: number;
	readonly address: string;
	readonly pool: PoolName;
	readonly availabilityZone: string;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	readonly isDraining: boolean;
	/** Least time until a draining worker leaves, at the time of the report. */
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

/** A maintenance wave: each of the machines is to have its upkeep before the deadline. */
export type WaveDefinition = {
	readonly wave: WaveNumber;
	readonly machineIds: readonly MachineId[];
	/** Seconds from publication. */
	readonly deadlineS: number;
	readonly maxDown: number;
};

/** What a caller is told of a job. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a run ended at a worker. `lapsed`: its lease; `broken`: another gang member; `alone`: waited in vain for the gang. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export type RunningRow = {
	readonly task: TaskName;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	/** Tail latency in ms of a serving task, else the processor in use. */
	readonly reading: number | undefined;
};

export type EndedRow = {
	/** Counts the ends of one life of the worker, from 1. */
	readonly number: number;
	readonly task: TaskName;
	readonly run: number;
	readonly how: RunEnd;
	readonly checkpoint: string;
};

/** Stored state of one task that differs from a fresh one. */
export type ProgressRow = {
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
	readonly status: 'waiting' | 'placed' | 'done';
	readonly run: number;
	readonly failures: number;
	/** Where the run was sent; empty when waiting or done. */
	readonly workerId: WorkerId;
	readonly workerBornAt: number;
	readonly checkpoint: string;
};

/** Stored progress of one job; replaced as a whole. */
export type JobProgress = {
	readonly phase: Exclude<JobPhase, 'cancelled'>;
	readonly finishedOccurrences: readonly number[];
	readonly rows: readonly ProgressRow[];
	/** When the job reached its last phase; 0 before. */
	readonly finishedAt: Instant;
};

/** The leader's claim or sign of life. */
export type LeaseRecord = {
	readonly holder: string;
	readonly token: FencingToken;
	/** The holder gives the lease back. */
	readonly isReleased: boolean;
};

export type WaveProgress = {
	readonly wave: WaveNumber;
	readonly doneMachines: readonly MachineId[];
	readonly isCompleted: boolean;
};

/** A change that entry hosts write: jobs handed in and cancels. */
export type IntakeRecord
	= | {readonly type: 'job'; readonly job: JobDefinition}
		| {readonly type: 'cancel'; readonly jobId: JobId}
		| {readonly type: 'job-removed'; readonly jobId: JobId}
		| {readonly type: 'cancel-removed'; readonly jobId: JobId};

/** A change that only the leader writes. */
export type LedgerRecord
	= | {readonly type: 'lease'; readonly lease: LeaseRecord}
		| {readonly type: 'progress'; readonly jobId: JobId; readonly progress: JobProgress}
		| {readonly type: 'progress-removed'; readonly jobId: JobId}
		| {readonly type: 'waves'; readonly waves: readonly WaveProgress[]}
	/** Machines with recent or open orders; written before an order is sent. */
		| {readonly type: 'orders'; readonly machineIds: readonly MachineId[]}
		| {readonly type: 'config'; readonly config: FleetConfig};
