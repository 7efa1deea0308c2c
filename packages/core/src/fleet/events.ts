/** What operators ask of the fleet through this host. */
import type {CallerKey} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {Instant} from '../types/time.js';

/** An operator published records that were checked against their schemas. */
export type PublishRequestedEvent = {
	readonly type: 'publish/requested';
	readonly at: Instant;
	readonly callerKey: CallerKey;
	readonly records: readonly LogRecord[];
	readonly deadline: Instant;
};

export type FleetEvent = PublishRequestedEvent;
