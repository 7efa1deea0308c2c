/** Events for requests that operators send to this host. */
import type {CallerKey} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {Instant} from '../types/time.js';

/** An operator asked to publish records, which were validated against their schemas. */
export type PublishRequestedEvent = {
	readonly type: 'publish/requested';
	readonly at: Instant;
	readonly callerKey: CallerKey;
	readonly records: readonly LogRecord[];
	readonly deadline: Instant;
};

export type FleetEvent = PublishRequestedEvent;
