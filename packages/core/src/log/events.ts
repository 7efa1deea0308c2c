/** What the daemon tells of the platform's log. */
import type {Fault} from '../types/faults.js';
import type {RecordId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';

/** Records read from the tail, in order. `firstOffset` is the oldest that the log still keeps, `nextOffset` the end of the log. */
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

/** An append was answered. A lost answer shows as failed though the records may be in the log. */
export type LogAppendedEvent = {
	readonly type: 'log/appended';
	readonly at: Instant;
	readonly recordIds: readonly RecordId[];
};

export type LogAppendFailedEvent = {
	readonly type: 'log/append-failed';
	readonly at: Instant;
	readonly recordIds: readonly RecordId[];
	readonly fault: Fault;
};

export type LogEvent = LogReadEvent | LogReadFailedEvent | LogAppendedEvent | LogAppendFailedEvent;
