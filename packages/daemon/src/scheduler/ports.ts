/** Interfaces of the external services that the scheduler host needs; the platform package implements them. */
import type {
	EndedRow, FleetConfig, PollOutcome, MachineListing, OrderOutcome, RunningRow, SchedulerEffect, StartOutcome, StopOutcome, WaveDefinition, WorkerEntry,
} from '@rhubarblever/core/scheduler';

/** A record of a keyed stream; a record without a value removes its key. */
export type KeyedRecord = {readonly offset: number; readonly key: string; readonly value: Uint8Array | undefined};
export type NewRecord = {readonly key: string; readonly value: Uint8Array | undefined};

/** `moved`: the stream did not end at the required offset, because other records were appended first; `refused`: definitely not appended, `isUnreachable` if there was no connection; `unknown`: may be appended, now or later. */
export type AppendOutcome
	= | {readonly type: 'appended'; readonly offset: number}
		| {readonly type: 'out-of-sequence'; readonly expected: number}
		| {readonly type: 'moved'}
		| {readonly type: 'fenced'}
		| {readonly type: 'refused'; readonly isUnreachable?: boolean}
		| {readonly type: 'unknown'};

/** Conditions of an append: `at` is the offset at which the stream must end; `writer` is checked against the writer's latest epoch and sequence number. */
export type AppendConditions = {
	readonly at?: number;
	readonly writer?: {readonly name: string; readonly epoch: number; readonly sequence: number};
};

/** `end`: where the stream ended when the store answered; if it is beyond `nextOffset`, there is more to read. `deleted`: the store no longer has the requested records. */
export type ReadOutcome
	= | {readonly type: 'read'; readonly records: readonly KeyedRecord[]; readonly nextOffset: number; readonly end: number}
		| {readonly type: 'deleted'}
		| {readonly type: 'unavailable'};

/** The newest record of each key, loaded in `pages` pages; `nextOffset` is where the stream ended when the first page was read. */
export type LoadOutcome
	= | {readonly type: 'loaded'; readonly records: readonly KeyedRecord[]; readonly nextOffset: number; readonly pages: number}
		| {readonly type: 'unavailable'};

/** The largest record that the store takes, and how much one append may hold; in bytes. */
export type StoreLimits = {readonly maxRecordBytes: number; readonly maxAppendBytes: number};

/** The store: streams of keyed records, compacted to the newest record of each key. */
export type KeyedStore = {
	readonly limits: StoreLimits;
	append(stream: string, records: readonly NewRecord[], conditions?: AppendConditions): Promise<AppendOutcome>;
	/** Long poll: waits up to `waitMs` for a record. */
	read(stream: string, fromOffset: number, waitMs: number): Promise<ReadOutcome>;
	/** Lists the newest record of each key, and the offset from which to continue reading. */
	listNewest(stream: string): Promise<LoadOutcome>;
};

type EffectOf<Type extends SchedulerEffect['type']> = Extract<SchedulerEffect, {type: Type}>;

export type StartAnswer = {readonly outcome: StartOutcome; readonly clockMs: number | undefined};
export type PollAnswer = {
	readonly outcome: PollOutcome; readonly clockMs: number | undefined; readonly bornAt: number | undefined;
	readonly running: readonly RunningRow[]; readonly ended: readonly EndedRow[];
	/** The part of the response that could not be read, for the log. */
	readonly fault?: string | undefined;
};
export type AdviceAnswer = {readonly validMs: number; readonly tickets: ReadonlyArray<{readonly workerId: string; readonly ticket: string}>};

/** Orders to workers. The promises never reject; failures are reported as outcomes. */
export type WorkerOrders = {
	startRun(order: EffectOf<'worker/start'>): Promise<StartAnswer>;
	stopRun(order: EffectOf<'worker/stop'>): Promise<StopOutcome>;
	/** Reads the running and ended runs of a worker, acknowledges ends and renews the worker's lease. */
	poll(order: EffectOf<'worker/poll'>): Promise<PollAnswer>;
	/** Throttles a run to a percentage of its full speed; resolves to true if the worker accepted it. */
	setPace(order: EffectOf<'worker/pace'>): Promise<boolean>;
};

/** Lists the platform's machines and sends orders for them. */
export type MachineOrders = {
	/** Lists all machines; a listing that is incomplete or not fully readable is reported as unavailable. */
	list(): Promise<MachineListing>;
	move(order: EffectOf<'machine/move'>): Promise<OrderOutcome>;
	startUpkeep(order: EffectOf<'machine/upkeep'>): Promise<OrderOutcome>;
};

export type Advisor = {
	/** Resolves to undefined if there is no usable response. */
	requestAdvice(request: EffectOf<'advice/request'>): Promise<AdviceAnswer | undefined>;
};

/** Stream names and record formats of the platform. The decoders return undefined for a record that they cannot use. */
export type PlatformCodec = {
	readonly operatorStream: string;
	readonly workerStream: string;
	readonly statusStream: string;
	/** Key of the configuration's record in the operators' stream. */
	readonly configKey: string;
	decodeConfig(record: KeyedRecord): FleetConfig | undefined;
	decodeWave(record: KeyedRecord): WaveDefinition | undefined;
	decodeWorker(record: KeyedRecord): WorkerEntry | undefined;
	encodeWaveStatus(wave: number, isCompleted: boolean): NewRecord;
	/** Returns the wave of a status record and whether it is completed. */
	decodeWaveStatus(record: KeyedRecord): {readonly wave: number; readonly isCompleted: boolean} | undefined;
};

export type SchedulerPorts = {
	readonly store: KeyedStore;
	readonly workers: WorkerOrders;
	readonly machines: MachineOrders;
	readonly advisor: Advisor;
	readonly codec: PlatformCodec;
};

export {type CommitOutcome, type MachineListing} from '@rhubarblever/core/scheduler';
