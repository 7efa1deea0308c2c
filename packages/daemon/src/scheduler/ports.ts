/** What the scheduler's host needs of its surroundings. The platform's folder implements these. */
import type {
	EndedRow, FleetConfig, PollOutcome, MachineListing, OrderOutcome, RunningRow, SchedulerEffect, StartOutcome, StopOutcome, WaveDefinition, WorkerEntry,
} from '@rhubarblever/core/scheduler';

/** A record of a keyed stream; without a value the key is removed. */
export type KeyedRecord = {readonly offset: number; readonly key: string; readonly value: Uint8Array | undefined};
export type NewRecord = {readonly key: string; readonly value: Uint8Array | undefined};

/** `moved`: the stream did not end where the condition said; `refused`: surely not appended; `unknown`: may be appended, now or later. */
export type AppendOutcome
	= | {readonly type: 'appended'; readonly offset: number}
		| {readonly type: 'out-of-sequence'; readonly expected: number}
		| {readonly type: 'moved'}
		| {readonly type: 'fenced'}
		| {readonly type: 'refused'}
		| {readonly type: 'unknown'};

/** Conditions of an append: where the stream must end, and which writer's turn it is. */
export type AppendConditions = {
	readonly at?: number;
	readonly writer?: {readonly name: string; readonly epoch: number; readonly sequence: number};
};

/** `end`: where the stream ended when the store answered; behind `nextOffset` there is more to read. `forgotten`: the records asked for were deleted. */
export type ReadOutcome
	= | {readonly type: 'read'; readonly records: readonly KeyedRecord[]; readonly nextOffset: number; readonly end: number}
		| {readonly type: 'forgotten'}
		| {readonly type: 'unavailable'};

/** The newest record of each key, in pages; `nextOffset` is where the stream ended at the first of them. */
export type LoadOutcome
	= | {readonly type: 'loaded'; readonly records: readonly KeyedRecord[]; readonly nextOffset: number; readonly pages: number}
		| {readonly type: 'unavailable'};

/** The store: streams of keyed records, of which the newest of each key is kept. */
export type KeyedStore = {
	append(stream: string, records: readonly NewRecord[], conditions?: AppendConditions): Promise<AppendOutcome>;
	/** Waits up to `waitMs` for a record. */
	read(stream: string, fromOffset: number, waitMs: number): Promise<ReadOutcome>;
	/** The newest record of each key, and where to read on. */
	listNewest(stream: string): Promise<LoadOutcome>;
};

type EffectOf<Type extends SchedulerEffect['type']> = Extract<SchedulerEffect, {type: Type}>;

export type StartAnswer = {readonly outcome: StartOutcome; readonly clockMs: number | undefined};
export type HoldAnswer = {
	readonly outcome: PollOutcome; readonly clockMs: number | undefined; readonly bornAt: number | undefined;
	readonly running: readonly RunningRow[]; readonly ended: readonly EndedRow[];
};
export type AdviceAnswer = {readonly validMs: number; readonly tickets: ReadonlyArray<{readonly workerId: string; readonly ticket: string}>};

/** Orders to workers. None of these rejects: what went wrong is an outcome. */
export type WorkerOrders = {
	start(order: EffectOf<'worker/start'>): Promise<StartAnswer>;
	stop(order: EffectOf<'worker/stop'>): Promise<StopOutcome>;
	hold(order: EffectOf<'worker/poll'>): Promise<HoldAnswer>;
	/** True if the worker took the pace over. */
	setPace(order: EffectOf<'worker/pace'>): Promise<boolean>;
};

/** Orders to the platform about machines. */
export type MachineOrders = {
	/** All machines, each row read, or none. */
	list(): Promise<MachineListing>;
	move(order: EffectOf<'machine/move'>): Promise<OrderOutcome>;
	startUpkeep(order: EffectOf<'machine/upkeep'>): Promise<OrderOutcome>;
};

export type Advisor = {
	/** Undefined when there is no answer. */
	ask(question: EffectOf<'advice/request'>): Promise<AdviceAnswer | undefined>;
};

/** How records of operators and workers are read. Undefined: the record says nothing that can be used. */
export type FeedDecoders = {
	readonly operatorStream: string;
	readonly workerStream: string;
	readonly statusStream: string;
	decodeConfig(record: KeyedRecord): FleetConfig | undefined;
	decodeWave(record: KeyedRecord): WaveDefinition | undefined;
	decodeWorker(record: KeyedRecord): WorkerEntry | undefined;
	encodeWaveStatus(wave: number, isCompleted: boolean): NewRecord;
	/** The wave and whether it is completed, of a status record. */
	decodeWaveStatus(record: KeyedRecord): {readonly wave: number; readonly isCompleted: boolean} | undefined;
};

export type SchedulerPorts = {
	readonly store: KeyedStore;
	readonly workers: WorkerOrders;
	readonly machines: MachineOrders;
	readonly advisor: Advisor;
	readonly feed: FeedDecoders;
};

export {type CommitOutcome, type MachineListing} from '@rhubarblever/core/scheduler';
