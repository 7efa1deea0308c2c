/**
 * Tells which incarnation of a worker has answered a call. Calls name the worker, not its incarnation: one that was meant
 * for an incarnation that has ended is carried out by the next one under the same id. Only some answers tell when the
 * incarnation was born; all tell its clock, which begins anew with each incarnation.
 */
import {maxClockDrift} from './timing.js';
import type {WorkerTarget} from './effects.js';
import type {FencingToken, SteadyMs} from './types.js';
import type {Worker, WorkerClock} from './state.js';

/** Restarts of one worker that a leader may tell apart by fencing tokens. */
const maxRestarts = 1024;

/**
 * The fencing token of a call to a worker: higher with each leader and, in its term, with each restart that it has seen. An
 * incarnation that has carried out a call meant for it refuses those that were meant for former ones.
 */
export function computeWorkerToken(token: FencingToken, {restarts}: Pick<WorkerTarget, 'restarts'>): FencingToken {
	return (token * maxRestarts) + Math.min(restarts, maxRestarts - 1);
}

/** `unsure`: the clock would be possible for the known incarnation and for its next one. */
export type AnsweringIncarnation = 'known' | 'next' | 'unsure';

/** A clock reading in an answer, and when its call was sent and its answer arrived. */
export type ClockReading = {readonly clockMs: number | undefined; readonly sentAt: SteadyMs; readonly at: SteadyMs};

/** Tells from the clock in an answer which incarnation has given it. The clock of each incarnation begins anew, at any value. */
export function findAnsweringIncarnation({clock}: Worker, reading: ClockReading): AnsweringIncarnation {
	if (clock === undefined || reading.clockMs === undefined) {
		return 'unsure';
	}

	if (reading.clockMs < computeLeastClock(clock, reading.sentAt) || reading.clockMs > computeMostClock(clock, reading.at)) {
		return 'next';
	}

	// A clock that begins at 0 reads at most the time since the earlier reading: the next incarnation was born after that.
	const longestNextMs = reading.at - clock.sentAt;
	return reading.clockMs > longestNextMs ? 'known' : 'unsure';
}

/** The lowest reading that the incarnation of an earlier reading may give to a call sent at `sentAt`. The calls may overlap. */
function computeLeastClock(clock: WorkerClock, sentAt: SteadyMs): number {
	const elapsedMs = sentAt - clock.at;
	return clock.workerMs + Math.floor(elapsedMs > 0 ? elapsedMs * (1 - maxClockDrift) : elapsedMs) - 1;
}

/** The highest reading that the incarnation of an earlier reading may give in an answer that arrives at `at`. */
function computeMostClock(clock: WorkerClock, at: SteadyMs): number {
	return clock.workerMs + Math.ceil((at - clock.sentAt) * (1 + maxClockDrift)) + 1;
}

/** When certainly no lease of the worker's known incarnation lasts any longer. */
export function getLeaseEnd({leaseExpiresAt, longLeaseUntil}: Worker): SteadyMs {
	return Math.max(leaseExpiresAt, longLeaseUntil);
}
