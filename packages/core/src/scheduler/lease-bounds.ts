/** Upper bounds of the leases that workers hold, as durations and as instants on this host's clock. */
import {
	leaseHorizonMs, leaseSlackMs, longestGrantMs, maxClockDrift, suspicionMs,
} from './timing.js';
import type {SteadyMs} from './types.js';
import type {SchedulerState} from './state.js';

/** How long leases may last after the latest record of a leader. It notices a suspension of its host only from `suspicionMs` on. */
export const earlierLeaseMs = leaseHorizonMs + suspicionMs + leaseSlackMs;
/** The same after a release: a leader grants nothing once it has sent that. */
export const releasedLeaseMs = longestGrantMs + suspicionMs + leaseSlackMs;

/**
 * Upper bound of a lease that a process was granted at `grantedAt` by a call meant for the former one: as long as workers
 * accept, as the expiry lies far ahead on its younger clock.
 */
export function addLongestLease({settings}: SchedulerState, grantedAt: SteadyMs): SteadyMs {
	return grantedAt + (settings.maxLeaseMs / (1 - maxClockDrift)) + leaseSlackMs;
}
