/** What the log domain asks of the daemon. */
import type {LogRecord} from '../types/records.js';
import type {Offset} from '../types/time.js';

/** Sends one batch of records to the fleet stream; answered by `log/appended` or `log/append-failed`. */
export type LogAppendEffect = {
	readonly type: 'log/append';
	readonly records: readonly LogRecord[];
};

/** Reads the fleet stream from `from` on; answered by `log/read` or `log/read-failed`. */
export type LogReadEffect = {
	readonly type: 'log/read';
	readonly from: Offset;
};

export type LogEffect = LogAppendEffect | LogReadEffect;
