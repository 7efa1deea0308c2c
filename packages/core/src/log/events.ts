/** Events of the platform's log, which the daemon raises. */
import type {Fault} from '../types/faults.js';
import type {RecordId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';

/** Records read from the log, in order. `firstOffset` is the oldest offset that the log still keeps, `nextOffset` the end of the log. */
export type LogReadEvent = {
	readonly type: 'log/read';
	readonly at: Instant;
	readonly records: readonly LoggedRecord[];
	readonly firstOffset: Offset;
	readonly nextOffset: Offset;
};

/** A read failed or timed out. */
export type LogReadFailedEvent = {
	readonly type: 'log/read-failed';
	readonly at: Instant;
	readonly fault: Fault;
};

/** The platform confirmed an append. */
export type LogAppendedEvent = {
	readonly type: 'log/appended';
	readonly at: Instant;
	readonly recordIds: readonly RecordId[];
};

/** An append failed, or its answer was lost: then the records may be in the log all the same. */
export type LogAppendFailedEvent = {
	readonly type: 'log/append-failed';
	readonly at: Instant;
	readonly recordIds: readonly RecordId[];
	readonly fault: Fault;
};

/** Raised at the instant of a `log/schedule-flush` effect. */
export type LogFlushDueEvent = {readonly type: 'log/flush-due'; readonly at: Instant};

/** Chunks read from the snapshot stream. */
export type SnapshotReadEvent = {
	readonly type: 'snapshot/read';
	readonly at: Instant;
	readonly records: readonly LoggedRecord[];
	readonly firstOffset: Offset;
	readonly nextOffset: Offset;
};

export type SnapshotReadFailedEvent = {readonly type: 'snapshot/read-failed'; readonly at: Instant; readonly fault: Fault};

/** All chunks of this host's snapshot are in the log. */
export type SnapshotWrittenEvent = {readonly type: 'snapshot/written'; readonly at: Instant; readonly nextOffset: Offset};

export type SnapshotWriteFailedEvent = {readonly type: 'snapshot/write-failed'; readonly at: Instant; readonly fault: Fault};

export type LogEvent = LogReadEvent | LogReadFailedEvent | LogAppendedEvent | LogAppendFailedEvent | LogFlushDueEvent
	| SnapshotReadEvent | SnapshotReadFailedEvent | SnapshotWrittenEvent | SnapshotWriteFailedEvent;
