/** Calls to a worker whose outcome is not known: its next incarnation may still carry them out. */
import {lateStartMs} from './timing.js';
import type {SchedulerState, Worker} from './state.js';

/** True if a worker must stay known although it is gone: its next incarnation may carry out starts, acknowledgements or leases meant for the present one. */
export function hasLateCalls({now}: SchedulerState, {lateStarts, unansweredAck, leaseCallAt, formerCallsOpenUntil}: Worker): boolean {
	return lateStarts.length > 0 || (unansweredAck?.forgetAt ?? 0) > now || Math.max(leaseCallAt + lateStartMs, formerCallsOpenUntil) > now;
}
