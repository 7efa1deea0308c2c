/** The phases of a client's connection, and how long it may stay in each. */
import type {ClientLimits} from '@rhubarblever/core/scheduler';
import type {RefusalReason} from './refusal-counts.js';

/** `work`: a complete request is carried out or answered; `closing`: the last answer is sent, the client has not closed yet; `upgraded`: no longer HTTP. */
export type ConnectionPhase = 'idle' | 'head' | 'body' | 'work' | 'closing' | 'upgraded';

export type PhaseLimits = {
	/** The limits in force now. */
	readonly getLimits: () => ClientLimits;
	readonly bodyTimeoutMs: number;
};

/** How long a client may take to close its connection after the last answer. */
const closeTimeoutMs = 1000;
/** What a client sends within its time limit may still be on its way for this long. */
const deliverySlackMs = 1000;

/** Why a connection is closed that stays in a phase for too long. */
export const overdueReasons: Readonly<Record<ConnectionPhase, RefusalReason>> = {
	idle: 'idle', head: 'header-timeout', body: 'body-timeout', work: 'answer-not-read', closing: 'not-closed', upgraded: 'idle',
};

/** How long a connection may stay in a phase, in milliseconds. */
const phaseTimeouts: Readonly<Record<ConnectionPhase, (limits: PhaseLimits) => number>> = {
	idle: ({getLimits}) => getLimits().idleTimeoutMs + deliverySlackMs,
	head: ({getLimits}) => getLimits().headerTimeoutMs + deliverySlackMs,
	body: ({bodyTimeoutMs}) => bodyTimeoutMs,
	work: () => Number.POSITIVE_INFINITY,
	closing: () => closeTimeoutMs,
	upgraded: () => Number.POSITIVE_INFINITY,
};

/** When a connection must have left a phase that began at `startedAt` (monotonic clock). */
export function computePhaseDeadline(phase: ConnectionPhase, startedAt: number, limits: PhaseLimits): number {
	return startedAt + phaseTimeouts[phase](limits);
}
