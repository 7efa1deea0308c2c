/** Effects of the log domain, which the daemon runs. */
import type {LogRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';

/** Sends one batch of records to the fleet stream; answered by `log/appended` or `log/append-failed`. */
export type LogAppendEffect = {
	readonly type: 'log/append';
	readonly records: readonly LogRecord[];
};

/** Asks for a `log/flush-due` event at an instant. */
export type LogFlushEffect = {
	readonly type: 'log/schedule-flush';
	readonly at: Instant;
};

/** Reads the fleet stream, starting at `from`; answered by `log/read` or `log/read-failed`. */
export type LogReadEffect = {
	readonly type: 'log/read';
	readonly from: Offset;
};

/** Appends the chunks of a snapshot to the snapshot stream, one after another; answered by `snapshot/written` or `snapshot/write-failed`. */
export type SnapshotWriteEffect = {
	readonly type: 'snapshot/write';
	readonly nextOffset: Offset;
	readonly records: readonly LogRecord[];
};

/** Reads the snapshot stream, starting at `from`; answered by `snapshot/read` or `snapshot/read-failed`. */
export type SnapshotReadEffect = {
	readonly type: 'snapshot/read';
	readonly from: Offset;
};

export type LogEffect = LogAppendEffect | LogFlushEffect | LogReadEffect | SnapshotWriteEffect | SnapshotReadEffect;
