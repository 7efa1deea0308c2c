/** This host's place in the log and its own records on the way there. */
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import type {FleetState} from '../fleet/state.js';
import type {HostId, RecordId} from '../types/ids.js';
import type {LoggedRecord, LogRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';
import type {SnapshotAssembly} from './snapshot-chunks.js';

/** A record of this host that it has not yet read back. */
export type PendingRecord = {
	readonly record: LogRecord;
	/** When to give it up: it is sent no more, though it may be in the log. */
	giveUpAt: Instant;
	/** When to send it next unless it was read back. */
	sendAt: Instant;
	sendCount: number;
	isInFlight: boolean;
};

/** Where a host's first fleet state came from. */
export type StartSource = 'log' | 'snapshot' | 'peer';

/** The latest snapshot known to be in the log. */
export type KnownSnapshot = {readonly nextOffset: Offset; readonly writtenAt: Instant};

/** A question to a peer for records or for its state. */
export type CatchUp = {
	askedPeer: HostId | undefined;
	/** When another peer may be asked. */
	askAt: Instant;
	/** Since when a live peer has been ahead while this host stood at `behindAt`. */
	behindSince: Instant | undefined;
	behindAt: Offset;
	readonly assembly: SnapshotAssembly;
};

/** Reading and writing of the snapshot stream. */
export type SnapshotWork = {
	readonly assembly: SnapshotAssembly;
	/** The highest whole state read so far and not taken over. */
	best: FleetState | undefined;
	/** Offset of the next chunk to read. */
	nextChunk: Offset;
	isRead: boolean;
	isReading: boolean;
	readAt: Instant;
	isWriting: boolean;
	/** After a failed write, the earliest instant of the next. */
	retryAt: Instant;
	known: KnownSnapshot;
	/** When the first record after the known snapshot was applied. */
	changedAt: Instant | undefined;
	/** Counts the snapshots of this process; part of their ids. */
	writtenCount: number;
};

export type LogState = {
	readonly pending: Map<RecordId, PendingRecord>;
	/** Counts what this process proposed; part of each proposal's record id. */
	proposalCount: number;
	/** The earliest instant of the next append. */
	nextAppendAt: Instant;
	isFlushScheduled: boolean;
	appendsInFlight: number;
	/** Appends that failed since the last that did not. */
	failedAppends: number;
	/** When the last append failed. */
	appendFailedAt: Instant | undefined;
	/** When the platform's log last answered. */
	lastContactAt: Instant | undefined;
	isReachable: boolean;
	isReading: boolean;
	readStartedAt: Instant;
	/** From where the read in flight asks; peers may bring this host further meanwhile. */
	readFrom: Offset;
	readAt: Instant;
	/** The first offset that the log kept when it was last read. */
	firstOffset: Offset;
	/** Records between this host's state and the log's first are gone. */
	isGapped: boolean;
	/** The log ends before this host's offset. */
	isShortened: boolean;
	/** Undefined until this host has a fleet state. */
	startedFrom: StartSource | undefined;
	/** The end of the log was reached once, or the log did not answer. */
	hasFollowed: boolean;
	/** This host's state is the highest it could learn of at its start; it is not ready before. */
	isInitialSyncDone: boolean;
	/** How long to wait for peers before starting from an empty log. */
	graceUntil: Instant | undefined;
	/** The latest records applied, in log order, to pass on to peers; bounded. */
	readonly recent: LoggedRecord[];
	/** The highest offset ever applied here. */
	highestOffset: Offset;
	readonly catchUp: CatchUp;
	readonly snapshots: SnapshotWork;
	/** Set when the process was frozen: it follows the log again before it counts as caught up. */
	mustCatchUpUntil: Instant;
	lastTickAt: Instant | undefined;
	readonly random: RandomGenerator;
};

/** A log state before the first contact. */
export function createLogState(seed: number): LogState {
	return {
		pending: new Map(),
		proposalCount: 0,
		nextAppendAt: 0 as Instant,
		isFlushScheduled: false,
		appendsInFlight: 0,
		failedAppends: 0,
		appendFailedAt: undefined,
		lastContactAt: undefined,
		isReachable: false,
		isReading: false,
		readStartedAt: 0 as Instant,
		readFrom: 0 as Offset,
		readAt: 0 as Instant,
		firstOffset: 0 as Offset,
		isGapped: false,
		isShortened: false,
		startedFrom: undefined,
		hasFollowed: false,
		isInitialSyncDone: false,
		graceUntil: undefined,
		recent: [],
		highestOffset: 0 as Offset,
		catchUp: {
			askedPeer: undefined, askAt: 0 as Instant, behindSince: undefined, behindAt: 0 as Offset, assembly: new Map(),
		},
		snapshots: createSnapshotWork(),
		mustCatchUpUntil: 0 as Instant,
		lastTickAt: undefined,
		random: xoroshiro128plus(seed),
	};
}

function createSnapshotWork(): SnapshotWork {
	return {
		assembly: new Map(),
		best: undefined,
		nextChunk: 0 as Offset,
		isRead: false,
		isReading: false,
		readAt: 0 as Instant,
		isWriting: false,
		retryAt: 0 as Instant,
		known: {nextOffset: 0 as Offset, writtenAt: 0 as Instant},
		changedAt: undefined,
		writtenCount: 0,
	};
}
