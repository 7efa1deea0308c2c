/** State of machines, maintenance waves and the demand of pools for machines. */
import type {OrderNumber} from './effects.js';
import type {
	FencingToken, MachineEntry, MachineId, PoolName, Resources, SteadyMs, WaveDefinition, WaveNumber, WorkerId,
} from './types.js';

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
	completionCommit: {readonly token: FencingToken; readonly commitNumber: number} | undefined;
	reported: 'none' | 'running' | 'completed';
	reportDueAt: SteadyMs;
};

/** What keeps a worker from taking a task. `ticket`: the advice service gave it none; `advice`: the service has not answered for it yet; `trial`: a task that may crash its worker starts apart from others. */
export type PlacementLimit = 'room' | 'spread' | 'suspect' | 'rack' | 'ticket' | 'advice' | 'trial' | 'late-start';

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
	/** Draining workers with long-running tasks for which no other worker of the pool has room. */
	leavingWithoutRoom: number;
};
