/** This host's position in the log, and its own records that are pending there. */
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import type {FleetState} from '../fleet/state.js';
import type {HostId, RecordId} from '../types/ids.js';
import type {LoggedRecord, LogRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';
import type {SnapshotAssembly} from './snapshot-chunks.js';

/** A record of this host that was queued for the log and is not yet read back. */
export type PendingRecord = {
	readonly record: LogRecord;
	/** When the record is dropped: it is not sent again, but may be in the log all the same. */
	giveUpAt: Instant;
	/** When to send it next unless it is read back before. */
	sendAt: Instant;
	sendCount: number;
	isInFlight: boolean;
};

/** The source of a host's first fleet state. */
export type StartSource = 'log' | 'snapshot' | 'peer';

/** The latest snapshot known to be in the log. */
export type KnownSnapshot = {readonly nextOffset: Offset; readonly writtenAt: Instant};

/** Requests to peers for records or for their state. */
export type CatchUp = {
	requestedPeer: HostId | undefined;
	/** The earliest instant of the next request. */
	nextRequestAt: Instant;
	/** Since when a live peer has been ahead while this host's offset stayed at `behindAtOffset`. */
	behindSince: Instant | undefined;
	behindAtOffset: Offset;
	readonly assembly: SnapshotAssembly;
};

/** State of reading and writing the snapshot stream. */
export type SnapshotState = {
	readonly assembly: SnapshotAssembly;
	/** The latest complete snapshot of the read under way; cleared at the end of the stream. */
	latestRead: FleetState | undefined;
	/** Offset of the next chunk to read. */
	nextChunkOffset: Offset;
	isRead: boolean;
	isReading: boolean;
	/** The earliest instant of the next read. */
	nextReadAt: Instant;
	isWriting: boolean;
	/** After a failed write, the earliest instant of the next. */
	retryAt: Instant;
	latestKnown: KnownSnapshot;
	/** When the first record after the known snapshot was applied. */
	changedAt: Instant | undefined;
	/** Number of snapshots that this process wrote or tried to write; part of their ids. */
	writtenCount: number;
};

export type LogState = {
	readonly pending: Map<RecordId, PendingRecord>;
	/** Number of records that this process proposed; part of each proposal's record id. */
	proposalCount: number;
	/** The earliest instant of the next append. */
	nextAppendAt: Instant;
	isFlushScheduled: boolean;
	appendsInFlight: number;
	/** Number of failed appends since the last successful one, or since a pending record was read back. */
	failedAppends: number;
	/** When the last append failed. */
	appendFailedAt: Instant | undefined;
	/** When the platform's log last answered. */
	lastContactAt: Instant | undefined;
	isReachable: boolean;
	isReading: boolean;
	readStartedAt: Instant;
	/** First offset that the read in flight requests; records from peers may advance this host meanwhile. */
	readFrom: Offset;
	/** The earliest instant of the next read. */
	nextReadAt: Instant;
	/** The first offset that the log kept when it was last read. */
	firstOffset: Offset;
	/** The log no longer keeps records that this host has not applied: its first offset is past this host's. */
	hasGap: boolean;
	/** The log ended before the offset that the last read requested. */
	isTruncated: boolean;
	/** Undefined until this host has a fleet state. */
	startedFrom: StartSource | undefined;
	/** A read has reached the end of the log or failed. */
	isInitialReadTried: boolean;
	/** This host has the latest state that it could find at its start; it is not ready before. */
	isInitialSyncDone: boolean;
	/** Until when a starting host waits for its peers' heartbeats. */
	graceUntil: Instant | undefined;
	/** The latest applied records, in log order, kept to answer peers' requests; at most `maxRecentRecords` (applying.ts). */
	readonly recentRecords: LoggedRecord[];
	/** The highest offset that this host ever reached. */
	highestOffset: Offset;
	readonly catchUp: CatchUp;
	readonly snapshots: SnapshotState;
	/** After a freeze of the process: the latest instant until which this host waits, not ready, to reach the end of the log. */
	mustCatchUpUntil: Instant;
	lastTickAt: Instant | undefined;
	readonly random: RandomGenerator;
};

/** Creates the log state of a host that has not read the log yet. */
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
		nextReadAt: 0 as Instant,
		firstOffset: 0 as Offset,
		hasGap: false,
		isTruncated: false,
		startedFrom: undefined,
		isInitialReadTried: false,
		isInitialSyncDone: false,
		graceUntil: undefined,
		recentRecords: [],
		highestOffset: 0 as Offset,
		catchUp: {
			requestedPeer: undefined, nextRequestAt: 0 as Instant, behindSince: undefined, behindAtOffset: 0 as Offset, assembly: new Map(),
		},
		snapshots: createSnapshotState(),
		mustCatchUpUntil: 0 as Instant,
		lastTickAt: undefined,
		random: xoroshiro128plus(seed),
	};
}

function createSnapshotState(): SnapshotState {
	return {
		assembly: new Map(),
		latestRead: undefined,
		nextChunkOffset: 0 as Offset,
		isRead: false,
		isReading: false,
		nextReadAt: 0 as Instant,
		isWriting: false,
		retryAt: 0 as Instant,
		latestKnown: {nextOffset: 0 as Offset, writtenAt: 0 as Instant},
		changedAt: undefined,
		writtenCount: 0,
	};
}
