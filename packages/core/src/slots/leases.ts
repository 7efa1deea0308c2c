/** Leases of grants and queued asks: they expire if their holder stops reporting. */
import type {AskId, HostId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {removeAsk} from './ask-lanes.js';
import type {StewardState} from './state.js';

/** A holder that does not report for this time loses its slots and its places in the queue. */
export const slotLeaseMs = 1500;

/** Drops the grants and queued asks of a holder that its full report no longer lists. */
export function removeUnreported(steward: StewardState, holder: HostId, heldIds: ReadonlySet<AskId>, queuedIds: ReadonlySet<AskId>): void {
	for (const [askId, grant] of steward.grants) {
		if (grant.holder === holder && !grant.mayStillRun && !heldIds.has(askId) && !queuedIds.has(askId)) {
			steward.grants.delete(askId);
		}
	}

	for (const [askId, queued] of steward.queue.byId) {
		if (queued.holder === holder && !queuedIds.has(askId)) {
			removeAsk(steward.queue, askId);
		}
	}
}

/** Drops grants and queued asks whose lease has expired. */
export function expireLeases(steward: StewardState, now: Instant): void {
	for (const [askId, grant] of steward.grants) {
		if (grant.leaseUntil <= now) {
			steward.grants.delete(askId);
		}
	}

	for (const [askId, queued] of steward.queue.byId) {
		if (queued.leaseUntil <= now) {
			removeAsk(steward.queue, askId);
		}
	}
}
