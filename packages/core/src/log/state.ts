/** This host's place in the log and its own records on the way there. */
import type {RecordId} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {Instant} from '../types/time.js';

/** A record of this host that it has not yet read back. */
export type PendingRecord = {
	readonly record: LogRecord;
	/** When to append it again unless it was read back. */
	retryAt: Instant;
	isInFlight: boolean;
};

export type LogState = {
	readonly pending: Map<RecordId, PendingRecord>;
	/** When the platform's log last answered. */
	lastContactAt: Instant | undefined;
	isReachable: boolean;
};

/** A log state before the first contact. */
export function createLogState(): LogState {
	return {pending: new Map(), lastContactAt: undefined, isReachable: false};
}
