/** State of the scheduler on one entry host. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {OrderNumber, SchedulerEffect} from './effects.js';
import type {
	FencingToken,
	FleetConfig,
	JobDefinition,
	JobPhase,
	JobProgress,
	LedgerRecord,
	MachineEntry,
	MachineId,
	PoolName,
	QueueName,
	Resources,
	RunningRow,
	StepDefinition,
	SteadyMs,
	TaskName,
	WaveDefinition,
	WaveNumber,
	WaveProgress,
	WorkerId,
} from './types.js';

/** What a host is told once, at its start. */
export type SchedulerSettings = {
	/** Name of this life of this host. */
	readonly holder: string;
	/** Spreads simultaneous claims; 0 to 1. */
	readonly claimJitter: number;
	/** How far the host falls short of the processor and link that the lead asks for; 0 to 1. */
	readonly capacityShortfall: number;
	/** Where this life numbers its appends from; differs between hosts, or the store takes one claim for a repeat of another. */
	readonly firstSequence: number;
	readonly moveMs: number;
	readonly upkeepMs: number;
	/** Least time between machine orders of two leaders. */
	readonly orderLeaseMs: number;
	readonly maxLeaseMs: number;
	readonly statusRetentionMs: number;
	/** How much longer a step takes away from the rack of its data. */
	readonly remoteRackFactor: number;
};

/** `stopping`: a stop was asked for, or it is unknown whether the start arrived. */
export type TaskStatus = 'waiting' | 'placed' | 'running' | 'stopping' | 'done';

/** One task. */
export type Task = {
	readonly name: TaskName;
	readonly step: StepRun;
	readonly index: number;
	status: TaskStatus;
	/** Number of the latest start; 0 before the first. */
	run: number;
	failures: number;
	worker: Worker | undefined;
	checkpoint: string;
	/** The start left this host, now or under an earlier leader. */
	isSent: boolean;
	/** A look at this life of its worker has listed the run; an answer to its start does not tell which life it is from. */
	isReported: boolean;
	/** Hold answers sent after this instant list the run, or it is gone. */
	conclusiveAfter: SteadyMs;
	/** When the stop may be sent again. */
	stopDueAt: SteadyMs;
	percent: number;
	percentChangedAt: SteadyMs;
	startedAt: SteadyMs;
	reading: number;
	/** Share at which a filler is let work, 0 to 100. */
	pacePercent: number;
	readyAt: SteadyMs;
	/** Where the task failed lately. */
	readonly failedOn: Set<WorkerId>;
};

/** One step of one occurrence. */
export type StepRun = {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly definition: StepDefinition;
	readonly tasks: Task[];
	doneCount: number;
	/** Tickets of the advice service by worker. */
	advice: StepAdvice | undefined;
};

export type StepAdvice = {
	nextRequestAt: SteadyMs;
	/** How many workers a question names at the most. */
	maxWorkersPerRequest: number;
	/** Lives of workers that an answer was about; those without a ticket are not good. */
	readonly answeredIncarnations: Map<WorkerId, number>;
	readonly tickets: Map<WorkerId, {readonly ticket: string; readonly bornAt: number; readonly validUntil: SteadyMs}>;
};

/** The question that the advice service has not answered yet; there is one at a time. */
export type AdviceRequest = {
	readonly step: StepRun;
	/** The workers named, with the lives that they had then. */
	readonly incarnations: ReadonlyMap<WorkerId, number>;
	readonly requestedAt: SteadyMs;
};

export type Occurrence = {
	readonly job: Job;
	readonly number: number;
	readonly steps: StepRun[];
	/** Its time has come by this host's clock; only then tasks of it start. */
	isDue: boolean;
	isDone: boolean;
};

export type Job = {
	readonly definition: JobDefinition;
	/** As stored; callers are told this. */
	phase: Exclude<JobPhase, 'cancelled'>;
	isCancelled: boolean;
	progress: JobProgress | undefined;
	readonly acceptedAt: SteadyMs;
	/** Only on the leader, and only while the job is live. */
	live: LiveJob | undefined;
	/** Since when this host knows that the job is over. */
	endedSince?: SteadyMs | undefined;
};

export type LiveJob = {
	readonly occurrences: Map<number, Occurrence>;
	readonly finishedOccurrences: Set<number>;
	nextOccurrence: number;
	hasStarted: boolean;
	phase: Exclude<JobPhase, 'cancelled'>;
	finishedAt: Instant;
};

/** A start without an answer: it may be carried out late, even by the worker's next process, which knows of no stop. */
export type LateStart = {
	readonly task: TaskName;
	readonly run: number;
	readonly forgetAt: SteadyMs;
	/** When a new process of the worker is told to stop it. */
	stopDueAt: SteadyMs;
};

export type Worker = {
	readonly id: WorkerId;
	bornAt: number;
	address: string;
	pool: PoolName;
	availabilityZone: string;
	rack: string;
	labels: ReadonlySet<string>;
	capacity: Resources;
	machineId: MachineId | undefined;
	isDraining: boolean;
	leavesAt: SteadyMs | undefined;
	isListed: boolean;
	/** The registry has lost it: from then on it is not listed. */
	unlistAt: SteadyMs | undefined;
	/** The fence was raised and its lists were read by this leader. */
	isFenced: boolean;
	/** A reading of its clock and the instant of its arrival. */
	clock: {readonly workerMs: number; readonly at: SteadyMs} | undefined;
	/** No lease that any leader gave is in force after this. */
	leaseExpiresAt: SteadyMs;
	/** Latest lease asked for, on the worker's clock. */
	leaseUntilMs: number;
	/** Highest end that was read, stored, and acknowledged. */
	lastReadEnd: number;
	lastStoredEnd: number;
	lastAckedEnd: number;
	isPollPending: boolean;
	pollDueAt: SteadyMs;
	lastAnswerAt: SteadyMs;
	/** Holds in a row without an answer. */
	missedPolls: number;
	readonly tasks: Map<TaskName, Task>;
	/** How many of the tasks are long-running. */
	longRunningTasks: number;
	lateStarts: LateStart[];
	/** Runs at the worker that nobody here knows of; they are stopped. */
	readonly unknownRuns: Map<TaskName, RunningRow>;
	used: Resources;
	/** Kept free for a machine order. */
	isReserved: boolean;
	quarantinedUntil: SteadyMs;
	readonly failures: Array<{readonly at: SteadyMs; readonly jobId: JobId}>;
	lastDoneAt: SteadyMs;
	quarantineCount: number;
	idleSince: SteadyMs;
};

/** Actions that wait until the changes they rest on are stored. */
export type PendingAction
	= | {readonly type: 'start'; readonly task: Task; readonly run: number}
		| {readonly type: 'acknowledge-ends'; readonly worker: Worker; /** Numbers of ends are those of one life. */ readonly bornAt: number; readonly upTo: number}
		| {readonly type: 'publish-phase'; readonly job: Job; /** As it is stored: the job may be further on by then. */ readonly progress: JobProgress}
		| {readonly type: 'order'; readonly machine: Machine};

/** One append to the ledger. */
export type Commit = {
	readonly sequence: number;
	/** When it was sent first; its confirmation tells that this host led then. */
	readonly sentAt: SteadyMs;
	readonly records: readonly LedgerRecord[];
	readonly actions: readonly PendingAction[];
	retryAt: SteadyMs | undefined;
};

/** A claim of the lead, and when it was sent first. */
export type Claim = {readonly token: FencingToken; readonly sentAt: SteadyMs};

export type Leadership = {
	role: 'follower' | 'claiming' | 'leader' | 'retired';
	token: FencingToken;
	/** Next offset of the ledger to read. */
	ledgerEnd: number;
	lastRecordAt: SteadyMs;
	claimNotBefore: SteadyMs;
	/** When the first configuration was read; the delays of claims count from then on. */
	configuredAt: SteadyMs;
	isReleased: boolean;
	hasLoadedLedger: boolean;
	/** Records came after the ledger was read as a whole: there was a leader since. */
	hasReadUpdates: boolean;
	/** When this host learned that it leads; machine orders wait some time after it. */
	leaderSince: SteadyMs;
	/** The store has confirmed an append of this lead that was sent then. */
	confirmedAt: SteadyMs;
	/** The latest claim. */
	claim: Claim | undefined;
	nextSequence: number;
	commit: Commit | undefined;
	commitNotBefore: SteadyMs;
	/** When a sign of life is due if nothing changes. */
	heartbeatDueAt: SteadyMs;
	/** When a claim of unknown outcome is given up. */
	retryClaimAt: SteadyMs | undefined;
};

export type MachineOrder = {
	readonly number: OrderNumber;
	readonly type: 'move' | 'upkeep';
	readonly pool: PoolName;
	readonly wave: WaveNumber;
	/** Not sent or stored yet: first its workers are looked at, and found empty, since it was decided. */
	isReserving: boolean;
	readonly reservedUntil: SteadyMs;
	/** Workers that a look was asked for since. */
	readonly polledWorkers: Set<WorkerId>;
	isInFlight: boolean;
	retryAt: SteadyMs;
	/** The platform confirmed it; the machine is back some time later. */
	confirmedAt: SteadyMs | undefined;
};

export type Machine = {
	entry: MachineEntry;
	order: MachineOrder | undefined;
	/** When the first list that lacks it was asked for; undefined while it is listed. */
	absentSince: SteadyMs | undefined;
	/** When the outcome of its last order was known; lists asked for before say nothing of the machine. */
	orderEndedAt: SteadyMs;
	/** The wave for which the machine is emptied. */
	drainingForWave: WaveNumber | undefined;
	/** No order before this. */
	notBefore: SteadyMs;
};

export type Wave = {
	readonly definition: WaveDefinition;
	readonly doneMachines: Set<MachineId>;
	readonly readAt: SteadyMs;
	isCompleted: boolean;
	/** The append to the ledger that tells of the completion; callers are told once it is stored. */
	completionCommit: {readonly token: FencingToken; readonly sequence: number} | undefined;
	reported: 'none' | 'running' | 'completed';
	reportDueAt: SteadyMs;
};

export type PoolDemand = {
	/** Tasks that wait for room. */
	waitingTasks: number;
	/** What short tasks that wait take, times the milliseconds that they take it for. */
	waitingWork: Resources;
	/** What long-running tasks that wait take. */
	waitingLongRunning: Resources;
	/** Work of short tasks that came since the last look: resources times milliseconds. */
	arrivedWork: Resources;
	/** Followed rate of arrivals, fast and slowly: the resources that they keep at work. */
	rate: Resources;
	slowRate: Resources;
	updatedAt: SteadyMs;
	/** Machines needed now, those of them that the pool does not have or get, and the most of the last seconds. */
	machines: number;
	missing: number;
	peakMachines: number;
	peakUntil: SteadyMs;
	/** A machine that is emptied needs another to take its long-running tasks, until this instant. */
	replacementUntil: SteadyMs;
};

export type SchedulerState = {
	readonly settings: SchedulerSettings;
	now: SteadyMs;
	wallNow: Instant;
	isStopping: boolean;
	config: FleetConfig | undefined;
	readonly jobs: Map<JobId, Job>;
	/** All jobs and cancels that were stored before this instant have been read. */
	intakeCompleteAt: SteadyMs;
	/** Cancels that were read before their job. */
	readonly earlyCancels: Set<JobId>;
	/** Progress that was read before its job. */
	readonly earlyProgress: Map<JobId, JobProgress>;
	readonly liveJobs: Set<Job>;
	/** Steps with tasks that may start. */
	readonly openSteps: Set<StepRun>;
	readonly workers: Map<WorkerId, Worker>;
	readonly leadership: Leadership;
	readonly dirtyJobs: Set<Job>;
	/** Jobs that are gone from the intake, and of which the ledger may still have something. */
	readonly removedJobs: Set<JobId>;
	pendingActions: PendingAction[];
	readonly machines: Map<MachineId, Machine>;
	/** Machines that an earlier leader ordered lately. */
	storedOrders: ReadonlySet<MachineId>;
	/** Machines that this leader ordered lately, and when it last sent the order. */
	readonly ownOrders: Map<MachineId, SteadyMs>;
	areOrdersDirty: boolean;
	/** Rises over all leads of this process. */
	nextOrderNumber: OrderNumber;
	/** When the latest list of machines was asked for, and the one before it. */
	machineListRequestedAt: SteadyMs;
	previousMachineListRequestedAt: SteadyMs;
	machinesDueAt: SteadyMs;
	isListingMachines: boolean;
	readonly waves: Map<WaveNumber, Wave>;
	storedWaves: Map<WaveNumber, WaveProgress>;
	areWavesDirty: boolean;
	isConfigDirty: boolean;
	readonly demand: Map<PoolName, PoolDemand>;
	/** How much longer tasks of a queue run than estimated, followed. */
	readonly runRatios: Map<QueueName, number>;
	needsPlacement: boolean;
	adviceRequest: AdviceRequest | undefined;
	/** Processes that ended with an order of this leader; late entries of theirs are ignored. */
	readonly endedWorkers: Map<WorkerId, number>;
	jobsDueAt: SteadyMs;
	movesDueAt: SteadyMs;
	/** When pools that lack machines were last told of. */
	shortageLoggedAt: SteadyMs;
	retentionDueAt: SteadyMs;
	outbox: SchedulerEffect[];
};

/** The state of a host that has just started. */
export function createSchedulerState(settings: SchedulerSettings): SchedulerState {
	return {
		settings,
		now: 0,
		wallNow: 0 as Instant,
		isStopping: false,
		config: undefined,
		jobs: new Map(),
		intakeCompleteAt: Number.NEGATIVE_INFINITY,
		earlyCancels: new Set(),
		earlyProgress: new Map(),
		liveJobs: new Set(),
		openSteps: new Set(),
		workers: new Map(),
		leadership: {
			role: 'follower', token: 0, ledgerEnd: 0, lastRecordAt: 0, claimNotBefore: 0, configuredAt: 0, isReleased: false, hasLoadedLedger: false, hasReadUpdates: false, leaderSince: 0, confirmedAt: 0, claim: undefined, nextSequence: 0, commit: undefined, commitNotBefore: 0, heartbeatDueAt: 0, retryClaimAt: undefined,
		},
		dirtyJobs: new Set(),
		removedJobs: new Set(),
		pendingActions: [],
		machines: new Map(),
		storedOrders: new Set(),
		ownOrders: new Map(),
		areOrdersDirty: false,
		nextOrderNumber: 1,
		machineListRequestedAt: 0,
		previousMachineListRequestedAt: 0,
		machinesDueAt: 0,
		isListingMachines: false,
		waves: new Map(),
		storedWaves: new Map(),
		areWavesDirty: false,
		isConfigDirty: false,
		demand: new Map(),
		runRatios: new Map(),
		needsPlacement: false,
		adviceRequest: undefined,
		endedWorkers: new Map(),
		jobsDueAt: 0,
		movesDueAt: 0,
		shortageLoggedAt: 0,
		retentionDueAt: 0,
		outbox: [],
	};
}
