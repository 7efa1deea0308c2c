/** What happens to the scheduler. Each event brings the instants at which it happened. */
import type {Instant} from '../types/time.js';
import type {OrderNumber} from './effects.js';
import type {
	EndedRow, FencingToken, FleetConfig, IntakeRecord, LedgerRecord, MachineEntry, MachineId, RunningRow, SteadyMs, TaskName, WaveDefinition, WaveNumber, WorkerEntry, WorkerId,
} from './types.js';

/** How a start was answered. `not-sent`: no connection; `unknown`: it may have been carried out, or may be later. */
export type StartOutcome = 'started' | 'fenced' | 'stale-run' | 'late' | 'no-room' | 'no-ticket' | 'invalid' | 'unhealthy' | 'other-life' | 'not-sent' | 'unknown';
export type StopOutcome = 'stopped' | 'fenced' | 'refused' | 'other-life' | 'unknown';
export type PollOutcome = 'held' | 'fenced' | 'refused' | 'other-life' | 'unknown';
export type OrderOutcome = 'done' | 'fenced' | 'busy' | 'wrong-wave' | 'invalid' | 'limited' | 'unknown';
/** `lost`: another host wrote first. */
export type ClaimOutcome = 'granted' | 'lost' | 'refused' | 'unknown';
/** `refused` and `unknown` are tried again with the same sequence number. */
export type CommitOutcome = 'stored' | 'fenced' | 'refused' | 'unknown';

export type LedgerEntry = {readonly offset: number; readonly record: LedgerRecord};

/** All machines, or why they are not known: a page did not come, or something in it cannot be read. */
export type MachineListing
	= | {readonly type: 'listed'; readonly machines: readonly MachineEntry[]; readonly pages: number}
		| {readonly type: 'unavailable'; readonly reason: string; readonly unreadableRows: number};

type Timed = {readonly at: SteadyMs; readonly wallAt: Instant};

/** An answer brings the token of its question: it belongs to that lead alone. Stand-ins whose answers outlast no lead leave it out. */
type Answer = {readonly token?: FencingToken};

export type SchedulerEvent = Timed & (
	| {readonly type: 'clock/ticked'}
	| {readonly type: 'stop/requested'}
	| {readonly type: 'config/read'; readonly config: FleetConfig}
	| {
		readonly type: 'intake/read'; readonly records: readonly IntakeRecord[];
		/** All that was stored before this instant has been read; absent if the answer does not tell. */
		readonly completeAt?: SteadyMs | undefined;
	}
	/** The ledger as a whole, then what follows; `nextOffset` is where the next read begins. */
	| {readonly type: 'ledger/loaded'; readonly entries: readonly LedgerEntry[]; readonly nextOffset: number}
	| {readonly type: 'ledger/read'; readonly entries: readonly LedgerEntry[]; readonly nextOffset: number}
	| {readonly type: 'claim/ended'; readonly outcome: ClaimOutcome; readonly claimedAt: number}
	| Answer & {readonly type: 'commit/ended'; readonly outcome: CommitOutcome; readonly sequence: number}
	| {readonly type: 'workers/listed'; readonly workers: readonly WorkerEntry[]; /** The registry was read anew, after its records were lost or at the start. */ readonly isReloaded: boolean}
	| Answer & {readonly type: 'start/ended'; readonly workerId: WorkerId; readonly bornAt: number; readonly task: TaskName; readonly run: number; readonly outcome: StartOutcome; readonly clockMs: number | undefined}
	| Answer & {readonly type: 'stop/ended'; readonly workerId: WorkerId; readonly bornAt: number; readonly task: TaskName; readonly run: number; readonly outcome: StopOutcome}
	| Answer & {
		readonly type: 'poll/ended'; readonly workerId: WorkerId; readonly bornAt: number; readonly outcome: PollOutcome; readonly sentAt: SteadyMs; readonly isExtra: boolean;
		readonly clockMs: number | undefined; readonly answerBornAt: number | undefined; readonly running: readonly RunningRow[]; readonly ended: readonly EndedRow[];
	}
	| Answer & {readonly type: 'pace/ended'; readonly workerId: WorkerId; readonly task: TaskName; readonly run: number; readonly isDone: boolean}
	/** `askedAt`: when its first page was asked for; nothing in it is older. */
	| {readonly type: 'machines/listed'; readonly listing: MachineListing; readonly requestedAt: SteadyMs; readonly tookMs: number}
	| Answer & {readonly type: 'order/ended'; readonly order: OrderNumber; readonly machineId: MachineId; readonly outcome: OrderOutcome}
	| {readonly type: 'wave/published'; readonly definition: WaveDefinition; readonly isCompleted: boolean}
	| {readonly type: 'wave/reported'; readonly wave: WaveNumber; readonly isStored: boolean; readonly isCompleted: boolean}
	| Answer & {
		readonly type: 'advice/ended'; readonly step: string; readonly workerIds: readonly WorkerId[]; readonly validMs: number;
		/** Undefined when the service did not answer. */
		readonly tickets: ReadonlyArray<{readonly workerId: WorkerId; readonly ticket: string}> | undefined;
	}
);

export type SchedulerEventType = SchedulerEvent['type'];
