/** Events for calls that were refused before a request was created. */
import type {FaultKind} from '../types/faults.js';
import type {Instant} from '../types/time.js';

/** A call of a caller or operator was malformed, unauthorized, too large or addressed to something unknown. */
export type CallRefusedEvent = {
	readonly type: 'call/refused';
	readonly at: Instant;
	readonly kind: FaultKind;
};

export type BurnEvent = CallRefusedEvent;
