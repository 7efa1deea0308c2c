/**
 * Until when workers may hold leases of earlier leaders, from what this host has read of the ledger.
 *
 * A leader grants no lease beyond `leaseHorizonMs` after the sending of its latest confirmed append. All its appends precede the
 * claim of its successor in the ledger, and a host reads each of them after its sending. The horizon therefore counts from the
 * latest record that a host has read before its own claim, whichever of the earlier leaders wrote it.
 */
import {earlierLeaseMs, releasedLeaseMs} from './lease-bounds.js';
import {suspicionMs} from './timing.js';
import type {LeaseRecord, SteadyMs} from './types.js';
import type {SchedulerState} from './state.js';

/** A full read shows only the latest lease record: earlier leaders may have been active until now. */
export function noteLedgerLoaded({leadership, now}: SchedulerState): void {
	leadership.formerLeasesUntil = now + earlierLeaseMs;
}

/** Must run for each lease record that is read, before it is applied. */
export function noteLeaseRecord({leadership, settings, now}: SchedulerState, {holder, token}: LeaseRecord): void {
	if (holder === settings.holder || token === leadership.readToken) {
		return;
	}

	// The former leader may have renewed leases until its successor, whose claim this is, excluded it from the ledger.
	leadership.formerLeasesUntil = Math.max(leadership.formerLeasesUntil, leadership.isReleased ? 0 : now + earlierLeaseMs, getLatestLeaderEnd(leadership));
	leadership.readToken = token;
}

/** Upper bound of the expiry of every lease that any earlier leader granted. Valid when a term begins, before the state of the ledger's latest leader is reset. */
export function computeEarlierLeaseEnd({leadership}: SchedulerState): SteadyMs {
	return Math.max(leadership.formerLeasesUntil, getLatestLeaderEnd(leadership));
}

/** Until when earlier leaders may have sent calls to workers. Valid at the same time; a leader that is cut off from the ledger is not counted. */
export function computeEarlierCallEnd({ledgerEnd, lastRecordAt}: SchedulerState['leadership']): SteadyMs {
	return ledgerEnd === 0 ? Number.NEGATIVE_INFINITY : lastRecordAt + suspicionMs;
}

function getLatestLeaderEnd({isReleased, lastRecordAt}: SchedulerState['leadership']): SteadyMs {
	return lastRecordAt + (isReleased ? releasedLeaseMs : earlierLeaseMs);
}
