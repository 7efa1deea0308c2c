/** The scheduler's input. Each event carries the instants at which it happened: `at` on the monotonic clock, `wallAt` on the wall clock. */
import type {Instant} from '../types/time.js';
import type {OrderNumber} from './effects.js';
import type {
	EndedRow, FencingToken, FleetConfig, IntakeRecord, LedgerRecord, MachineEntry, MachineId, RunningRow, SteadyMs, TaskName, WaveDefinition, WaveNumber, WorkerEntry, WorkerId,
} from './types.js';

/**
 * The worker's answer to a start. `fenced`: the worker has seen a higher fencing token; `stale-run`: it has seen this
 * run number or a higher one for the task; `late`: the start arrived after its lease had expired; `no-room`: not enough
 * free capacity; `no-ticket`: the advice ticket was not accepted; `other-life`: another incarnation of the worker, or
 * another worker, has the address; `not-sent`: no connection; `unknown`: the start may have been carried out, or may
 * still be.
 */
export type StartOutcome = 'started' | 'fenced' | 'stale-run' | 'late' | 'no-room' | 'no-ticket' | 'invalid' | 'unhealthy' | 'other-life' | 'not-sent' | 'unknown';
/** `refused`: the worker answered with another error; `unknown`: there was no answer. The other values are as for starts. */
export type StopOutcome = 'stopped' | 'fenced' | 'refused' | 'other-life' | 'unknown';
/** `held`: the worker has answered, and has renewed its lease if the poll carried one. The other values are as for stops. */
export type PollOutcome = 'held' | 'fenced' | 'refused' | 'other-life' | 'unknown';
/**
 * The platform's answer to a machine order. `busy`: the machine is not free for an order; `wrong-wave`: the machine
 * is not part of the order's wave; `limited`: too many requests, retried; `unknown`: the order may have been carried out.
 */
export type OrderOutcome = 'done' | 'fenced' | 'busy' | 'wrong-wave' | 'invalid' | 'limited' | 'unknown';
/** `lost`: another host appended to the ledger first. */
export type ClaimOutcome = 'granted' | 'lost' | 'refused' | 'unknown';
/** `refused` and `unknown` are retried with the same sequence number. */
export type CommitOutcome = 'stored' | 'fenced' | 'refused' | 'unknown';

export type LedgerEntry = {readonly offset: number; readonly record: LedgerRecord};

/** The complete list of machines, or why there is none: a page could not be fetched, or some rows could not be parsed. */
export type MachineListing
	= | {readonly type: 'listed'; readonly machines: readonly MachineEntry[]; readonly pages: number}
		| {readonly type: 'unavailable'; readonly reason: string; readonly unreadableRows: number};

type Timed = {readonly at: SteadyMs; readonly wallAt: Instant};

/** An answer carries the fencing token of its request and is valid only in that term. Test doubles whose answers never outlive a term may omit it. */
type Answer = {readonly token?: FencingToken};

export type SchedulerEvent = Timed & (
	| {readonly type: 'clock/ticked'}
	| {readonly type: 'stop/requested'}
	| {readonly type: 'config/read'; readonly config: FleetConfig}
	| {
		readonly type: 'intake/read'; readonly records: readonly IntakeRecord[];
		/** All records that were stored before this instant have been read; absent if this is not known. */
		readonly completeAt?: SteadyMs | undefined;
	}
	/** First a full read of the ledger, then the records that follow; the next read begins at `nextOffset`. */
	| {readonly type: 'ledger/loaded'; readonly entries: readonly LedgerEntry[]; readonly nextOffset: number}
	| {readonly type: 'ledger/read'; readonly entries: readonly LedgerEntry[]; readonly nextOffset: number}
	| {readonly type: 'claim/ended'; readonly outcome: ClaimOutcome; readonly claimedAt: number}
	| Answer & {
		readonly type: 'commit/ended'; readonly outcome: CommitOutcome; readonly sequence: number;
		/** How many appends it took, each with a sequence number of its own; absent for one. */
		readonly appends?: number;
	}
	| {readonly type: 'workers/listed'; readonly workers: readonly WorkerEntry[]; /** The registry was read again from the start: at startup, or because its records were lost. */ readonly isReloaded: boolean}
	| Answer & {readonly type: 'start/ended'; readonly workerId: WorkerId; readonly bornAt: number; readonly task: TaskName; readonly run: number; readonly outcome: StartOutcome; readonly clockMs: number | undefined}
	| Answer & {readonly type: 'stop/ended'; readonly workerId: WorkerId; readonly bornAt: number; readonly task: TaskName; readonly run: number; readonly outcome: StopOutcome}
	| Answer & {
		readonly type: 'poll/ended'; readonly workerId: WorkerId; readonly bornAt: number; readonly outcome: PollOutcome; readonly sentAt: SteadyMs; readonly isExtra: boolean;
		readonly clockMs: number | undefined; readonly answerBornAt: number | undefined; readonly running: readonly RunningRow[]; readonly ended: readonly EndedRow[];
	}
	| Answer & {readonly type: 'pace/ended'; readonly workerId: WorkerId; readonly task: TaskName; readonly run: number; readonly isDone: boolean}
	/** `requestedAt`: when the first page was requested; no row is older. */
	| {readonly type: 'machines/listed'; readonly listing: MachineListing; readonly requestedAt: SteadyMs; readonly tookMs: number}
	| Answer & {readonly type: 'order/ended'; readonly order: OrderNumber; readonly machineId: MachineId; readonly outcome: OrderOutcome}
	| {readonly type: 'wave/published'; readonly definition: WaveDefinition; readonly isCompleted: boolean}
	| {readonly type: 'wave/reported'; readonly wave: WaveNumber; readonly isStored: boolean; readonly isCompleted: boolean}
	| Answer & {
		readonly type: 'advice/ended'; readonly step: string; readonly workerIds: readonly WorkerId[]; readonly validMs: number;
		/** Undefined if the service did not answer. */
		readonly tickets: ReadonlyArray<{readonly workerId: WorkerId; readonly ticket: string}> | undefined;
	}
);

export type SchedulerEventType = SchedulerEvent['type'];
