/** Hands leadership over to a stronger host: a weak leader that cannot keep up keeps its lead otherwise, as it is never silent. */
import {isWindowFull} from './call-window.js';
import {passLeadership} from './leadership.js';
import {handoverPauseMs} from './timing.js';
import type {SchedulerState} from './state.js';

/** A leader that has not kept up for this long hands over. */
const handoverAfterMs = 1500;

/** Hands over if calls have been held back at the least bound for too long. */
export function tickHandover(state: SchedulerState): void {
	const {leadership, callWindow, now} = state;
	if (!isWindowFull(callWindow)) {
		callWindow.keptUpAt = now;
	}

	const behindSince = Math.max(callWindow.keptUpAt, leadership.leaderSince);
	leadership.isHandingOver ||= now - behindSince >= handoverAfterMs && canHandOver(state);
	// The append under way ends first; no other is sent.
	if (leadership.isHandingOver && !leadership.commit) {
		passLeadership(state);
	}
}

/** False if there is no stronger host, or none took over when this host or one like it handed over lately. */
function canHandOver({leadership: {latestHandover}, settings: {capacityShortfall}, now}: SchedulerState): boolean {
	const isFutile = latestHandover !== undefined && capacityShortfall >= latestHandover.capacityShortfall && now < latestHandover.readAt + handoverPauseMs;
	return capacityShortfall > 0 && !isFutile;
}
