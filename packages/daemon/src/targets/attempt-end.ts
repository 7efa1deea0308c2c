/** How an attempt ended, from the client's side, and the event that tells it. */
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

export type AttemptEnd = {readonly kind: 'answered'; readonly status: number} | AttemptFailure;

/** A failure after the request was sent, before its answer began. */
export function createFailure(fault: Fault, details: Partial<AttemptFailure> = {}): AttemptFailure {
	return {
		kind: 'failed', fault, wasSent: true, wasRefused: false, hasAnswerBegun: false, ...details,
	};
}

/** A failure of the send. `hasConnected`: a socket was open, so bytes may have left. */
export function createSendFailure(error: Error & {readonly code?: string}, hasConnected: boolean): AttemptFailure {
	if (!hasConnected) {
		return createFailure(createFault('no-target', `the target cannot be reached: ${error.code ?? error.message}`), {wasSent: false});
	}

	const kind = error.name === 'TimeoutError' ? 'answer-timeout' : 'answer-lost';
	return createFailure(createFault(kind, error.message));
}

/** The event of an attempt's end. */
export function createEndEvent(attemptId: AttemptId, end: AttemptEnd): Event {
	const at = readClock();
	if (end.kind === 'answered') {
		return {
			type: 'attempt/answered', at, attemptId, status: end.status,
		};
	}

	const {fault, wasSent, wasRefused, hasAnswerBegun} = end;
	return {
		type: 'attempt/failed', at, attemptId, fault, wasSent, wasRefused, hasAnswerBegun,
	};
}
