/** Sets failing targets aside and tries them again gently: one attempt at a time until one is answered. */
import type {SlotEnd} from '../slots/messages.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {Target} from './state.js';

const failuresBeforeSetAside = 3;
const firstSetAsideMs = 500;
const longestSetAsideMs = 5000;
/** A target that says it is busy rests for this time. */
const busyRestMs = 20;

/** How an attempt on a target ended, and when it began. */
export type AttemptResult = {readonly end: SlotEnd; readonly startedAt: Instant};

type EndHandler = (state: State, target: Target, result: AttemptResult, maySetAside: boolean) => void;

const endHandlers: Readonly<Record<SlotEnd, EndHandler>> = {
	answered: noteAnswer,
	withdrawn() {},
	busy(state, target) {
		target.setAsideUntil = addMilliseconds(state.now, busyRestMs);
	},
	failed: noteFailure,
	unsent: noteFailure,
	lost: noteFailure,
};

/** Judges a target by how an attempt on it ended. `maySetAside`: other targets of its service can take work. */
export function judgeTarget(state: State, target: Target, result: AttemptResult, maySetAside: boolean): void {
	endHandlers[result.end](state, target, result, maySetAside);
}

/** Whether a target may get work now. */
export function isTargetUsable(state: State, target: Target): boolean {
	return target.listed.state === 'live' && !state.targets.leaving.has(target.listed.hostId) && target.setAsideUntil <= state.now;
}

function noteAnswer(_state: State, target: Target): void {
	target.failures = 0;
	target.setAsideCount = 0;
	target.isOnProbation = false;
}

/** What began before the target was set aside failed for the same cause: it doesn't count again. */
function noteFailure(state: State, target: Target, {startedAt}: AttemptResult, maySetAside: boolean): void {
	if (startedAt <= target.setAsideAt) {
		return;
	}

	target.failures += 1;
	if (target.failures >= failuresBeforeSetAside && maySetAside) {
		setAside(state, target);
	}
}

function setAside(state: State, target: Target): void {
	const setAsideMs = Math.min(longestSetAsideMs, firstSetAsideMs * (2 ** target.setAsideCount));
	target.setAsideCount += 1;
	target.setAsideAt = state.now;
	target.setAsideUntil = addMilliseconds(state.now, setAsideMs);
	target.isOnProbation = true;
}
