/** The scheduler's state on one entry host. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {createAccountUse, type AccountUse} from './account-use.js';
import {createCallWindow, type CallWindow} from './call-window.js';
import {createRunTimes, type RunTimes} from './run-time-keys.js';
import type {OrderNumber, SchedulerEffect} from './effects.js';
import type {FirstSends} from './first-sends.js';
import type {ArrivalBucket} from './shares.js';
import {createLoadState, type LoadState} from './load-view.js';
import type {Machine, Wave, PoolDemand} from './machine-state.js';
import type {EarlierOpenLeases} from './open-leases.js';
import type {ProgressParts} from './progress-parts.js';
import type {
	AccountName, FencingToken, FleetConfig, JobProgress, LedgerRecord, MachineId, PoolName, RunTimesRecord, SteadyMs, WaveNumber, WaveProgress, WorkerId,
} from './types.js';
import type {
	Task, StepRun, AdviceRequest, Job, Worker, WorkerLoss,
} from './work-state.js';

export type * from './machine-state.js';
export type * from './work-state.js';

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
	/** Longest time that a worker takes to stop a run. */
	readonly stopMs: number;
	readonly statusRetentionMs: number;
	/** Factor by which a step takes longer outside the rack of its data. */
	readonly remoteRackFactor: number;
	/** Largest record that the store takes. */
	readonly maxRecordBytes: number;
	/** Uses of learned run times that are switched off or on; those left out are on. */
	readonly learning?: Partial<Record<LearningUse, boolean>>;
	/** Refuses jobs that would end too late to be of use. */
	readonly isAdmissionEnabled?: boolean | undefined;
};

/** What learned run times are used for: the order of steps, the demand for machines, the expected wait, and the watch over runs that take too long. */
export type LearningUse = 'order' | 'demand' | 'admission' | 'stragglers';

/** Actions that are deferred until the changes they depend on are stored. */
export type PendingAction
	= | {readonly type: 'start'; readonly task: Task; readonly run: number}
		| {readonly type: 'acknowledge-ends'; readonly worker: Worker; /** Run ends are numbered per incarnation. */ readonly bornAt: number; readonly upTo: number}
		| {readonly type: 'publish-phase'; readonly job: Job; /** The stored progress; the job itself may have advanced since. */ readonly progress: JobProgress}
		| {readonly type: 'order'; readonly machine: Machine};

/** Records that are appended to the ledger, and what waits for them to be stored. */
export type Commit = {
	/** Counts the commits of one term. */
	readonly number: number;
	/** Sequence number of its first append: the store may take it in several. */
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
	/** The latest handover of leadership to stronger hosts: by which capacity shortfall, and when this host learned of it. */
	latestHandover: {readonly capacityShortfall: number; readonly readAt: SteadyMs} | undefined;
	/** This leader has decided to hand over, and sends no more appends but the one that says so. */
	isHandingOver: boolean;
	/** Token of the latest lease record of another host that was read. */
	readToken: FencingToken;
	/** Upper bound of the expiry of leases granted by leaders before the latest one that the ledger shows. */
	formerLeasesUntil: SteadyMs;
	/** The same for all leaders before this host's present term. */
	earlierLeasesUntil: SteadyMs;
	/** What an earlier leader has told of its calls to workers; undefined if it is not known. */
	openLeases: EarlierOpenLeases | undefined;
	/** Until when earlier leaders may have sent calls to workers; `-Infinity` if there were none. */
	earlierCallsUntil: SteadyMs;
	hasLoadedLedger: boolean;
	/** Records followed after the full read of the ledger: a leader has been active since. */
	hasReadUpdates: boolean;
	/** When this host learned that it is the leader; machine orders wait some time after that. */
	leaderSince: SteadyMs;
	/** When the latest append that the store has confirmed in this term was sent. */
	confirmedAt: SteadyMs;
	claim: Claim | undefined;
	nextSequence: number;
	nextCommitNumber: number;
	commit: Commit | undefined;
	/** Moving average of the time in which the store confirms an append. */
	meanCommitMs: number;
	commitNotBefore: SteadyMs;
	/** When a heartbeat record is due if there is nothing else to append. */
	heartbeatDueAt: SteadyMs;
	/** When the next append has to tell of open leases. */
	openLeasesDueAt: SteadyMs;
	/** When a claim whose outcome is unknown may be sent again. */
	retryClaimAt: SteadyMs | undefined;
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
	/** Parts of the progress of jobs, as the ledger has them. While this host leads, only their names are kept. */
	readonly progressParts: Map<JobId, ProgressParts>;
	/** When jobs that hosts refused were first sent. */
	readonly firstSends: FirstSends;
	/** When the record of each host's refusals was last read. */
	readonly refusalRecords: Map<string, SteadyMs>;
	readonly liveJobs: Set<Job>;
	/** Steps with tasks that may start. */
	readonly openSteps: Set<StepRun>;
	readonly workers: Map<WorkerId, Worker>;
	/** How many restarts of each worker this leader has seen in its term; kept while a worker is gone. */
	readonly workerRestarts: Map<WorkerId, number>;
	/** Workers that starts were sent to since due polls were last looked for. */
	readonly startedWorkers: Set<WorkerId>;
	/** What client accounts have running. */
	readonly accountUse: AccountUse;
	/** What client accounts may still send within their rate. */
	readonly arrivalBuckets: Map<AccountName, ArrivalBucket>;
	readonly leadership: Leadership;
	readonly dirtyJobs: Set<Job>;
	/** Jobs that were removed from the intake while the ledger may still hold their progress. */
	readonly removedJobs: Set<JobId>;
	pendingActions: PendingAction[];
	callWindow: CallWindow;
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
	runTimes: RunTimes;
	/** The latest record of run times in the ledger, until this host leads. */
	storedRunTimes: RunTimesRecord | undefined;
	/** Expected waits as the leader has published them. */
	readonly load: LoadState;
	needsPlacement: boolean;
	/** Tasks of open jobs that losses of workers may be blamed on. */
	readonly suspects: Set<Task>;
	suspectsDueAt: SteadyMs;
	/** Workers lost lately, apart from those that tasks were found to have caused. */
	workerLosses: WorkerLoss[];
	/** Workers where only suspects may start: `kept` for the next one, or with one `onTrial`. */
	readonly trials: {readonly kept: Map<Worker, SteadyMs>; readonly onTrial: Set<Worker>; readonly polledAt: WeakMap<Worker, SteadyMs>};
	adviceRequest: AdviceRequest | undefined;
	/** Worker incarnations that an order of this leader ended; registry entries that still list them are ignored. */
	readonly endedWorkers: Map<WorkerId, number>;
	jobsDueAt: SteadyMs;
	movesDueAt: SteadyMs;
	drainsDueAt: SteadyMs;
	/** Until then no machine goes to the spare pool. */
	spareNotBefore: SteadyMs;
	/** This leader's store answers, and the stream of jobs was read to its end lately. */
	areArrivalsSeen: boolean;
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
		progressParts: new Map(),
		firstSends: new Map(),
		refusalRecords: new Map(),
		liveJobs: new Set(),
		openSteps: new Set(),
		workers: new Map(),
		workerRestarts: new Map(),
		startedWorkers: new Set(),
		accountUse: createAccountUse(),
		arrivalBuckets: new Map(),
		leadership: {
			role: 'follower', token: 0, ledgerEnd: 0, lastRecordAt: 0, isSilenceUnknown: false, claimNotBefore: 0, configuredAt: 0, isReleased: false, latestHandover: undefined, isHandingOver: false, readToken: 0, formerLeasesUntil: 0, earlierLeasesUntil: 0, openLeases: undefined, earlierCallsUntil: Number.NEGATIVE_INFINITY, hasLoadedLedger: false, hasReadUpdates: false, leaderSince: 0, confirmedAt: 0, claim: undefined, nextSequence: 0, nextCommitNumber: 0, commit: undefined, meanCommitMs: 0, commitNotBefore: 0, heartbeatDueAt: 0, openLeasesDueAt: 0, retryClaimAt: undefined,
		},
		dirtyJobs: new Set(),
		removedJobs: new Set(),
		pendingActions: [],
		callWindow: createCallWindow(),
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
		runTimes: createRunTimes(),
		storedRunTimes: undefined,
		load: createLoadState(),
		needsPlacement: false,
		suspects: new Set(),
		suspectsDueAt: 0,
		workerLosses: [],
		trials: {kept: new Map(), onTrial: new Set(), polledAt: new WeakMap()},
		adviceRequest: undefined,
		endedWorkers: new Map(),
		jobsDueAt: 0,
		movesDueAt: 0,
		drainsDueAt: 0,
		spareNotBefore: 0,
		areArrivalsSeen: true,
		shortageLoggedAt: 0,
		retentionDueAt: 0,
		shorteningDueAt: 0,
		outbox: [],
	};
}
