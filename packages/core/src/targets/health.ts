/** Quarantines failing targets. After a quarantine a target is on probation: one attempt at a time until one is answered. */
import type {SlotEnd} from '../slots/messages.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {Target} from './state.js';

const failuresBeforeQuarantine = 3;
const initialQuarantineMs = 500;
const maxQuarantineMs = 5000;
/** A target that refuses a request as busy gets no work for this time. */
const busyPauseMs = 20;

/** How an attempt on a target ended, and when it started. */
export type AttemptResult = {readonly end: SlotEnd; readonly startedAt: Instant};

type EndHandler = (state: State, target: Target, result: AttemptResult, mayQuarantine: boolean) => void;

const endHandlers: Readonly<Record<SlotEnd, EndHandler>> = {
	answered: recordAnswer,
	withdrawn() {},
	busy(state, target) {
		target.quarantinedUntil = addMilliseconds(state.now, busyPauseMs);
	},
	failed: recordFailure,
	unsent: recordFailure,
	lost: recordFailure,
};

/** Updates a target's health after an attempt on it. `mayQuarantine`: other targets of its service can take work. */
export function recordAttemptResult(state: State, target: Target, result: AttemptResult, mayQuarantine: boolean): void {
	endHandlers[result.end](state, target, result, mayQuarantine);
}

/** Whether a target may get work now. */
export function isTargetUsable(state: State, target: Target): boolean {
	return target.listed.state === 'live' && !state.targets.leaving.has(target.listed.hostId) && target.quarantinedUntil <= state.now;
}

function recordAnswer(_state: State, target: Target): void {
	target.failures = 0;
	target.quarantineCount = 0;
	target.isOnProbation = false;
}

/** An attempt that started before the target was quarantined failed for the same cause, so it is not counted again. */
function recordFailure(state: State, target: Target, {startedAt}: AttemptResult, mayQuarantine: boolean): void {
	if (startedAt <= target.quarantinedAt) {
		return;
	}

	target.failures += 1;
	if (target.failures >= failuresBeforeQuarantine && mayQuarantine) {
		quarantineTarget(state, target);
	}
}

function quarantineTarget(state: State, target: Target): void {
	const quarantineMs = Math.min(maxQuarantineMs, initialQuarantineMs * (2 ** target.quarantineCount));
	target.quarantineCount += 1;
	target.quarantinedAt = state.now;
	target.quarantinedUntil = addMilliseconds(state.now, quarantineMs);
	target.isOnProbation = true;
}
