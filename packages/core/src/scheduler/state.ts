/** The scheduler's state on one entry host. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {createStartWindow, type StartWindow} from './start-window.js';
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
	StepDefinition,
	SteadyMs,
	TaskCrash,
	TaskName,
	WaveDefinition,
	WaveNumber,
	WaveProgress,
	WorkerId,
} from './types.js';

/** Settings of one host, fixed when its process starts. */
export type SchedulerSettings = {
	/** Identifies this host and the incarnation of its process. */
	readonly holder: string;
	/** Random jitter that spreads simultaneous claims of several hosts; 0 to 1. */
	readonly claimJitter: number;
	/** How far the host falls short of the processor and network bandwidth that a leader needs; 0 to 1. */
	readonly capacityShortfall: number;
	/** First sequence number of this process's appends. Must differ between hosts, or the store treats the claim of one as a retry of another's. */
	readonly firstSequence: number;
	/** How long a machine is down for a move to another pool. */
	readonly moveMs: number;
	/** How long a machine is down for maintenance. */
	readonly upkeepMs: number;
	/** Minimum time between the orders of two successive leaders for the same machine. */
	readonly orderLeaseMs: number;
	/** Longest lease that workers accept. */
	readonly maxLeaseMs: number;
	readonly statusRetentionMs: number;
	/** Factor by which a step takes longer outside the rack of its data. */
	readonly remoteRackFactor: number;
};

/** `stopping`: a stop was requested, because the run must end or because it is unknown whether its start was carried out. */
export type TaskStatus = 'waiting' | 'placed' | 'running' | 'stopping' | 'done';

export type Task = {
	readonly name: TaskName;
	readonly step: StepRun;
	readonly index: number;
	status: TaskStatus;
	/** Number of the latest run; 0 before the first. */
	run: number;
	failures: number;
	worker: Worker | undefined;
	checkpoint: string;
	/** The start was sent by this host, or may have been sent by an earlier leader. */
	isSent: boolean;
	/** A poll of the worker's current incarnation has listed the run. The answer to a start does not say which incarnation gave it. */
	isReported: boolean;
	/** When the answer to its start was found to be lost; `never` while none was. */
	unansweredAt: SteadyMs;
	/** A poll sent after this instant is conclusive: if it does not list the run, the run is gone. */
	conclusiveAfter: SteadyMs;
	/** When an unconfirmed stop is sent again. */
	stopDueAt: SteadyMs;
	percent: number;
	percentChangedAt: SteadyMs;
	startedAt: SteadyMs;
	/** The latest measurement of the run: tail latency in ms of a serving task, processor use of any other task; 0 if there is none. */
	reading: number;
	/** Share of the processor that a filler may use, 0 to 100. */
	pacePercent: number;
	readyAt: SteadyMs;
	/** Workers where the task failed recently. */
	readonly failedOn: Set<WorkerId>;
	/** Losses of workers that may be blamed on the task, oldest first. */
	crashes: readonly TaskCrash[];
};

/** One step of one occurrence. */
export type StepRun = {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly definition: StepDefinition;
	readonly tasks: Task[];
	doneCount: number;
	/** Answers of the advice service; undefined before the first request. */
	advice: StepAdvice | undefined;
};

export type StepAdvice = {
	nextRequestAt: SteadyMs;
	/** Maximum number of workers that one request names. */
	maxWorkersPerRequest: number;
	/** Worker incarnations that the service has answered for; those without a ticket must not run the step. */
	readonly answeredIncarnations: Map<WorkerId, number>;
	readonly tickets: Map<WorkerId, {readonly ticket: string; readonly bornAt: number; readonly validUntil: SteadyMs}>;
};

/** The request that the advice service has not answered yet; only one is open at a time. */
export type AdviceRequest = {
	readonly step: StepRun;
	/** The named workers with their incarnations at the time of the request. */
	readonly incarnations: ReadonlyMap<WorkerId, number>;
	readonly requestedAt: SteadyMs;
};

export type Occurrence = {
	readonly job: Job;
	readonly number: number;
	readonly steps: StepRun[];
	/** Its start time has passed on this host's clock; its tasks do not start earlier. */
	isDue: boolean;
	isDone: boolean;
};

export type Job = {
	/** Shortened once the job has ended. */
	definition: JobDefinition;
	/** The stored phase, which callers see. */
	phase: Exclude<JobPhase, 'cancelled'>;
	isCancelled: boolean;
	progress: JobProgress | undefined;
	readonly acceptedAt: SteadyMs;
	/** Set only on the leader, and only while the job is active. */
	live: LiveJob | undefined;
	/** When this host learned that the job has ended. */
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

/**
 * A start whose answer was lost. It may be carried out late, even by the worker's next incarnation, which has no
 * record of a stop that its predecessor confirmed.
 */
export type LateStart = {
	readonly task: TaskName;
	readonly run: number;
	readonly need: Resources;
	readonly forgetAt: SteadyMs;
	/** When a stop is sent to the worker's new incarnation; `never` as long as there is none, and once it has confirmed the stop. */
	stopDueAt: SteadyMs;
};

export type Worker = {
	readonly id: WorkerId;
	bornAt: number;
	/** That of the latest report of this incarnation that the registry has told of; 0 before the first. */
	sequence: number;
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
	/** Set while the registry lacks the worker; at this instant it becomes unlisted. */
	unlistAt: SteadyMs | undefined;
	/**
	 * The worker has answered a poll of this leader: it rejects the tokens of earlier leaders, and its runs and run ends were read.
	 * Reset when another poll has to confirm that.
	 */
	isPolledByLeader: boolean;
	/** The latest reading of the worker's clock, and when it arrived on this host's clock. */
	clock: {readonly workerMs: number; readonly at: SteadyMs} | undefined;
	/** Upper bound, on this host's clock, of the expiry of every lease that any leader granted to the worker. */
	leaseExpiresAt: SteadyMs;
	/** Expiry of the latest lease requested, on the worker's clock. */
	leaseUntilMs: number;
	/** Highest numbers of the run ends that were read, whose effects were stored, and that were acknowledged to the worker. */
	lastReadEnd: number;
	lastStoredEnd: number;
	lastAckedEnd: number;
	isPollPending: boolean;
	/** When its latest poll was sent, apart from extra ones. */
	pollSentAt: SteadyMs;
	pollDueAt: SteadyMs;
	lastAnswerAt: SteadyMs;
	/** Consecutive polls with another outcome than `held`: unanswered ones and those that were answered with an error. */
	failedPolls: number;
	/** When the first of these polls failed. */
	silentSince: SteadyMs;
	readonly tasks: Map<TaskName, Task>;
	/** How many of `tasks` are long-running. */
	longRunningTasks: number;
	lateStarts: LateStart[];
	/** Runs that the worker reports and this leader did not start or restore; they are stopped. */
	readonly unknownRuns: Map<TaskName, {readonly run: number; readonly reportedAt: SteadyMs}>;
	used: Resources;
	/** Gets no new tasks, because its machine is about to be moved or maintained. */
	isReserved: boolean;
	/** Gets no new tasks until then, after a start that was refused or not answered. */
	pausedUntil: SteadyMs;
	/** Set aside until then, after repeated failures: gets at most a long-running task on trial. */
	quarantinedUntil: SteadyMs;
	readonly failures: Array<{readonly at: SteadyMs; readonly jobId: JobId}>;
	/** When a run was last seen to succeed here: it ended as done, or is long-running and at work. */
	lastSuccessAt: SteadyMs;
	quarantineCount: number;
	idleSince: SteadyMs;
};

/** Actions that are deferred until the changes they depend on are stored. */
export type PendingAction
	= | {readonly type: 'start'; readonly task: Task; readonly run: number}
		| {readonly type: 'acknowledge-ends'; readonly worker: Worker; /** Run ends are numbered per incarnation. */ readonly bornAt: number; readonly upTo: number}
		| {readonly type: 'publish-phase'; readonly job: Job; /** The stored progress; the job itself may have advanced since. */ readonly progress: JobProgress}
		| {readonly type: 'order'; readonly machine: Machine};

/** One append to the ledger. */
export type Commit = {
	readonly sequence: number;
	/** When it was first sent. Its confirmation proves that this host was the leader at that time. */
	readonly sentAt: SteadyMs;
	readonly records: readonly LedgerRecord[];
	readonly actions: readonly PendingAction[];
	/** When it is sent again unless its outcome is known by then. */
	retryAt: SteadyMs;
	/** How often it was sent. */
	attempts: number;
};

/** A claim of leadership, and when it was first sent. */
export type Claim = {readonly token: FencingToken; readonly sentAt: SteadyMs};

export type Leadership = {
	/** `retired`: the process is stopping and claims no more. */
	role: 'follower' | 'claiming' | 'leader' | 'retired';
	token: FencingToken;
	/** Next offset of the ledger to read. */
	ledgerEnd: number;
	lastRecordAt: SteadyMs;
	/** The store has not taken this host's claim, so records of a leader may be missing; silence counts anew from the next answered read of the ledger. */
	isSilenceUnknown: boolean;
	claimNotBefore: SteadyMs;
	/** When the first configuration was read; claim delays count from this instant. */
	configuredAt: SteadyMs;
	isReleased: boolean;
	hasLoadedLedger: boolean;
	/** Records followed after the full read of the ledger: a leader has been active since. */
	hasReadUpdates: boolean;
	/** When this host learned that it is the leader; machine orders wait some time after that. */
	leaderSince: SteadyMs;
	/** When the latest append that the store has confirmed in this term was sent. */
	confirmedAt: SteadyMs;
	claim: Claim | undefined;
	nextSequence: number;
	commit: Commit | undefined;
	/** Moving average of the time in which the store confirms an append. */
	meanCommitMs: number;
	commitNotBefore: SteadyMs;
	/** When a heartbeat record is due if there is nothing else to append. */
	heartbeatDueAt: SteadyMs;
	/** When a claim whose outcome is unknown may be sent again. */
	retryClaimAt: SteadyMs | undefined;
};

/** The loss of a worker's incarnation, and when it last answered. `isPlain`: a suspect is plainly to blame. */
export type WorkerLoss = {
	readonly workerId: WorkerId;
	readonly bornAt: number;
	readonly pool: PoolName;
	readonly machineId: MachineId | undefined;
	readonly aliveAt: SteadyMs;
	readonly isPlain: boolean;
};

export type MachineOrder = {
	readonly number: OrderNumber;
	readonly type: 'move' | 'upkeep';
	readonly pool: PoolName;
	readonly wave: WaveNumber;
	/** Not stored or sent yet: polls made after the decision must first show that the machine's workers are empty. */
	isReserving: boolean;
	readonly reservedUntil: SteadyMs;
	/** Workers for which such a poll was requested. */
	readonly polledWorkers: Set<WorkerId>;
	isInFlight: boolean;
	retryAt: SteadyMs;
	/** When the platform confirmed the order; the machine is available again some time later. */
	confirmedAt: SteadyMs | undefined;
};

export type Machine = {
	entry: MachineEntry;
	order: MachineOrder | undefined;
	/** When the first list that lacks the machine was requested; undefined while it is listed. */
	absentSince: SteadyMs | undefined;
	/** When the outcome of its last order became known; lists requested earlier do not reflect it. */
	orderEndedAt: SteadyMs;
	/** The wave for which the machine is being drained. */
	drainingForWave: WaveNumber | undefined;
	/** No order is sent before this instant. */
	notBefore: SteadyMs;
};

export type Wave = {
	readonly definition: WaveDefinition;
	readonly doneMachines: Set<MachineId>;
	readonly readAt: SteadyMs;
	isCompleted: boolean;
	/** The append that records the completion in the ledger; the completion is reported once it is stored. */
	completionCommit: {readonly token: FencingToken; readonly sequence: number} | undefined;
	reported: 'none' | 'running' | 'completed';
	reportDueAt: SteadyMs;
};

/** What keeps a worker from taking a task. `ticket`: the advice service gave it none; `advice`: the service has not answered for it yet; `trial`: a task that may crash its worker starts apart from others. */
export type PlacementLimit = 'room' | 'spread' | 'suspect' | 'rack' | 'ticket' | 'advice' | 'trial';

/** How many workers each limit kept from taking a task. */
export type RefusedWorkers = Partial<Record<PlacementLimit, number>>;

export type PoolDemand = {
	/** Tasks that wait for free capacity. */
	waitingTasks: number;
	/** Work of the short tasks that wait: resources times milliseconds. */
	waitingWork: Resources;
	/** Resources needed by the long-running tasks that wait. */
	waitingLongRunning: Resources;
	/** Long-running tasks that only another machine can take: the resources they need, and how many machines they need because of their limit of tasks per worker. */
	unplaceable: Resources;
	unplaceableSpread: number;
	/** Machines of the pool whose workers could be given tasks when tasks were last placed, and whether one of these workers that offers its whole machine was left without any. */
	usableMachines: number;
	hasIdleWorker: boolean;
	/** How many workers each limit of placement kept from taking a waiting task; summed over steps. */
	refused: RefusedWorkers;
	/** Work of the short tasks that arrived since the last update: resources times milliseconds. */
	arrivedWork: Resources;
	/** Fast and slow moving averages of the arrival rate: the resources that the arriving work keeps busy. */
	rate: Resources;
	slowRate: Resources;
	updatedAt: SteadyMs;
	/** Machines needed now; how many of them the pool neither has nor is about to get; the highest need of the last seconds. */
	machines: number;
	missing: number;
	peakMachines: number;
	peakUntil: SteadyMs;
	/** Until this instant the pool needs one more machine, to take the long-running tasks of a machine that is being drained. */
	replacementUntil: SteadyMs;
};

export type SchedulerState = {
	readonly settings: SchedulerSettings;
	now: SteadyMs;
	wallNow: Instant;
	/** How far the wall clock was ahead of the monotonic clock at the latest event. */
	wallLeadMs: number | undefined;
	isStopping: boolean;
	config: FleetConfig | undefined;
	readonly jobs: Map<JobId, Job>;
	/** All jobs and cancel requests that were stored before this instant have been read. */
	intakeCompleteAt: SteadyMs;
	/** Jobs whose cancel request was read before the job itself. */
	readonly earlyCancels: Set<JobId>;
	/** Progress of jobs that have not been read yet. */
	readonly earlyProgress: Map<JobId, JobProgress>;
	readonly liveJobs: Set<Job>;
	/** Steps with tasks that may start. */
	readonly openSteps: Set<StepRun>;
	readonly workers: Map<WorkerId, Worker>;
	readonly leadership: Leadership;
	readonly dirtyJobs: Set<Job>;
	/** Jobs that were removed from the intake while the ledger may still hold their progress. */
	readonly removedJobs: Set<JobId>;
	pendingActions: PendingAction[];
	startWindow: StartWindow;
	readonly machines: Map<MachineId, Machine>;
	/** Machines with recent orders of an earlier leader. */
	storedOrders: ReadonlySet<MachineId>;
	/** Machines with recent orders of this leader, and when each order was last sent. */
	readonly ownOrders: Map<MachineId, SteadyMs>;
	areOrdersDirty: boolean;
	/** Increases over all terms of this process. */
	nextOrderNumber: OrderNumber;
	/** When the latest list of machines was requested, and the one before it. */
	machineListRequestedAt: SteadyMs;
	previousMachineListRequestedAt: SteadyMs;
	machinesDueAt: SteadyMs;
	isListingMachines: boolean;
	readonly waves: Map<WaveNumber, Wave>;
	storedWaves: Map<WaveNumber, WaveProgress>;
	areWavesDirty: boolean;
	isConfigDirty: boolean;
	readonly demand: Map<PoolName, PoolDemand>;
	/** Moving average of actual to estimated run time, by queue. */
	readonly runRatios: Map<QueueName, number>;
	needsPlacement: boolean;
	/** Tasks of open jobs that losses of workers may be blamed on. */
	readonly suspects: Set<Task>;
	suspectsDueAt: SteadyMs;
	/** Workers lost lately, apart from those that tasks were found guilty of. */
	workerLosses: WorkerLoss[];
	/** Workers where only suspects may start: `kept` for the next one, or with one `onTrial`. */
	readonly trials: {readonly kept: Map<Worker, SteadyMs>; readonly onTrial: Set<Worker>; readonly polledAt: WeakMap<Worker, SteadyMs>};
	adviceRequest: AdviceRequest | undefined;
	/** Worker incarnations that an order of this leader ended; registry entries that still list them are ignored. */
	readonly endedWorkers: Map<WorkerId, number>;
	jobsDueAt: SteadyMs;
	movesDueAt: SteadyMs;
	/** Until then no machine goes to the spare pool. */
	spareNotBefore: SteadyMs;
	/** When a shortage of machines was last logged. */
	shortageLoggedAt: SteadyMs;
	retentionDueAt: SteadyMs;
	shorteningDueAt: SteadyMs;
	outbox: SchedulerEffect[];
};

/** The initial state of a host. */
export function createSchedulerState(settings: SchedulerSettings): SchedulerState {
	return {
		settings,
		now: 0,
		wallNow: 0 as Instant,
		wallLeadMs: undefined,
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
			role: 'follower', token: 0, ledgerEnd: 0, lastRecordAt: 0, isSilenceUnknown: false, claimNotBefore: 0, configuredAt: 0, isReleased: false, hasLoadedLedger: false, hasReadUpdates: false, leaderSince: 0, confirmedAt: 0, claim: undefined, nextSequence: 0, commit: undefined, meanCommitMs: 0, commitNotBefore: 0, heartbeatDueAt: 0, retryClaimAt: undefined,
		},
		dirtyJobs: new Set(),
		removedJobs: new Set(),
		pendingActions: [],
		startWindow: createStartWindow(),
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
		suspects: new Set(),
		suspectsDueAt: 0,
		workerLosses: [],
		trials: {kept: new Map(), onTrial: new Set(), polledAt: new WeakMap()},
		adviceRequest: undefined,
		endedWorkers: new Map(),
		jobsDueAt: 0,
		movesDueAt: 0,
		spareNotBefore: 0,
		shortageLoggedAt: 0,
		retentionDueAt: 0,
		shorteningDueAt: 0,
		outbox: [],
	};
}
