/**
 * Until when a leader may act. Each append that the store confirms shows that the host led when it sent the append; another
 * host may lead some time after that.
 */
import {addEffect, noteWarning} from './logging.js';
import {suspicionMs} from './timing.js';
import type {SchedulerEvent} from './events.js';
import type {SchedulerState} from './state.js';

/** True if the store has confirmed an append that this leader sent less than `maxAgeMs` ago. */
export function isConfirmedWithin({leadership, now}: SchedulerState, maxAgeMs: number): boolean {
	return now - leadership.confirmedAt < maxAgeMs;
}

/**
 * Detects that the host may have been suspended: its monotonic clock has not counted that time, so everything that depends
 * on it seems younger than it is. What the leader was allowed to do, and what was read of the streams, no longer counts
 * until the store has answered again.
 */
export function checkSuspension(state: SchedulerState, {at, wallAt}: SchedulerEvent): void {
	const wallLeadMs = wallAt - at;
	const gainedMs = wallLeadMs - (state.wallLeadMs ?? wallLeadMs);
	state.wallLeadMs = wallLeadMs;
	if (gainedMs < suspicionMs) {
		return;
	}

	noteWarning(state, 'host-suspended', {gainedMs: Math.round(gainedMs), role: state.leadership.role});
	addEffect(state, {type: 'views/expire'});
	expireConfirmations(state);
}

function expireConfirmations({leadership, now}: SchedulerState): void {
	leadership.confirmedAt = Number.NEGATIVE_INFINITY;
	leadership.heartbeatDueAt = now;
	leadership.claim &&= {...leadership.claim, sentAt: Number.NEGATIVE_INFINITY};
	leadership.commit &&= {...leadership.commit, sentAt: Number.NEGATIVE_INFINITY};
}
