/** The outcome of an attempt as the target client sees it, and the event that reports it. */
import {
	createFault, type AttemptId, type Event, type Fault,
} from '@rhubarblever/core';
import {readClock} from '../clock.js';

export type AttemptFailure = {
	readonly kind: 'failed';
	readonly fault: Fault;
	readonly wasSent: boolean;
	readonly wasRefused: boolean;
	readonly hasAnswerBegun: boolean;
};

export type AttemptOutcome = {readonly kind: 'answered'; readonly status: number} | AttemptFailure;

/** Creates a failure. The defaults describe one after the request was sent and before any of the answer reached the caller. */
export function createFailure(fault: Fault, details: Partial<AttemptFailure> = {}): AttemptFailure {
	return {
		kind: 'failed', fault, wasSent: true, wasRefused: false, hasAnswerBegun: false, ...details,
	};
}

/** Creates the failure of a call that threw an error. `hasConnected`: a socket was open, so some bytes may have been sent. */
export function createCallFailure(error: Error & {readonly code?: string}, hasConnected: boolean): AttemptFailure {
	if (!hasConnected) {
		return createFailure(createFault('no-target', `the target cannot be reached: ${error.code ?? error.message}`), {wasSent: false});
	}

	const kind = error.name === 'TimeoutError' ? 'answer-timeout' : 'answer-lost';
	return createFailure(createFault(kind, error.message));
}

/** Creates the event that reports the outcome of an attempt. */
export function createOutcomeEvent(attemptId: AttemptId, outcome: AttemptOutcome): Event {
	const at = readClock();
	if (outcome.kind === 'answered') {
		return {
			type: 'attempt/answered', at, attemptId, status: outcome.status,
		};
	}

	const {fault, wasSent, wasRefused, hasAnswerBegun} = outcome;
	return {
		type: 'attempt/failed', at, attemptId, fault, wasSent, wasRefused, hasAnswerBegun,
	};
}
