/** The scheduler's output: requests and log lines for the host process to carry out, as data. */
import type {
	FencingToken, FleetConfig, JobDefinition, LedgerRecord, MachineId, PoolName, TaskName, WaveNumber, WorkerId,
} from './types.js';

/** The recipient of an order: one incarnation of one worker. */
export type WorkerTarget = {readonly id: WorkerId; readonly bornAt: number; readonly address: string; /** How many restarts of the worker the leader has seen. */ readonly restarts: number};

/** Identifies a machine order within one process; the answer carries the number of its order. */
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
			readonly type: 'worker/poll'; readonly worker: WorkerTarget; readonly token: FencingToken; readonly acknowledgedEnd: number;
			/** New lease expiry on the worker's clock; undefined: the poll renews no lease. */
			readonly untilMs: number | undefined; readonly waitMs: number;
			/** Time that the answer may take in addition to `waitMs`. */
			readonly slackMs: number;
			/** Sent while another poll of the worker may still be waiting. */
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
		/** Replaces the definitions of jobs that have ended. */
		| {readonly type: 'intake/shorten'; readonly definitions: readonly JobDefinition[]}
		/** Removes the records of refusals of these host processes. */
		| {readonly type: 'intake/remove-refusals'; readonly holders: readonly string[]}
		/** What was read of the streams may be older than it seems. */
		| {readonly type: 'views/expire'}
		| {readonly type: 'config/restored'; readonly config: FleetConfig}
		| {readonly type: 'log'; readonly level: 'info' | 'warn'; readonly event: string; readonly fields: LogFields};
