/** What the scheduler asks of the outside, as data. */
import type {
	FencingToken, FleetConfig, LedgerRecord, MachineId, PoolName, TaskName, WaveNumber, WorkerId,
} from './types.js';

/** Where an order goes: one life of one worker. */
export type WorkerTarget = {readonly id: WorkerId; readonly bornAt: number; readonly address: string};

/** Tells the orders of one process apart; an answer brings back the one of its order. */
export type OrderNumber = number & {readonly __name?: 'OrderNumber'};

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type SchedulerEffect
	= | {readonly type: 'ledger/claim'; readonly at: number; readonly token: FencingToken; readonly sequence: number; readonly holder: string}
		| {readonly type: 'ledger/commit'; readonly token: FencingToken; readonly sequence: number; readonly records: readonly LedgerRecord[]}
		| {readonly type: 'ledger/reload'}
		| {
			readonly type: 'worker/start'; readonly worker: WorkerTarget; readonly task: TaskName; readonly run: number; readonly spec: string;
			readonly untilMs: number; readonly token: FencingToken; readonly checkpoint: string; readonly ticket: string | undefined;
		}
		| {readonly type: 'worker/stop'; readonly worker: WorkerTarget; readonly task: TaskName; readonly run: number; readonly token: FencingToken}
		| {
			readonly type: 'worker/poll'; readonly worker: WorkerTarget; readonly token: FencingToken; readonly lastAckedEnd: number;
			/** Lease on the worker's clock; absent: only look. */
			readonly untilMs: number | undefined; readonly waitMs: number;
			/** Beside another look that waits. */
			readonly isExtra: boolean;
		}
		| {
			readonly type: 'worker/pace'; readonly worker: WorkerTarget; readonly task: TaskName; readonly run: number;
			readonly percent: number; readonly token: FencingToken;
		}
		| {readonly type: 'machines/list'}
		| {readonly type: 'machine/move'; readonly order: OrderNumber; readonly machineId: MachineId; readonly pool: PoolName; readonly token: FencingToken}
		| {readonly type: 'machine/upkeep'; readonly order: OrderNumber; readonly machineId: MachineId; readonly wave: WaveNumber; readonly token: FencingToken}
		| {readonly type: 'wave/report'; readonly wave: WaveNumber; readonly isCompleted: boolean}
		| {readonly type: 'advice/request'; readonly step: string; readonly workerIds: readonly WorkerId[]; readonly token: FencingToken}
		| {readonly type: 'intake/remove'; readonly jobIds: readonly string[]}
		| {readonly type: 'config/restored'; readonly config: FleetConfig}
		| {readonly type: 'log'; readonly level: 'info' | 'warn'; readonly event: string; readonly fields: LogFields};
