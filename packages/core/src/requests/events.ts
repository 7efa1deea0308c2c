/** Events caused by callers. */
import type {CallerKey} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {Instant} from '../types/time.js';

export type RequestArrivedEvent = {
	readonly type: 'request/arrived';
	readonly at: Instant;
	readonly request: CallerRequest;
};

/** The caller closed its call before it was answered. */
export type CallerGoneEvent = {
	readonly type: 'caller/gone';
	readonly at: Instant;
	readonly callerKey: CallerKey;
};

export type RequestEvent = RequestArrivedEvent | CallerGoneEvent;
