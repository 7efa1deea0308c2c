/** Sends a target's answer as the injected fault requires. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sleep} from '../harness/process-group.js';
import {resetSocket} from '../reset-socket.js';
import {computeAnswer} from './answer.js';
import {attemptHeader} from './headers.js';
import type {TargetServer} from './target-server.js';
import type {AnswerFault, AnswerFaultKind} from './work.js';

/** An answer that is ready to be sent. */
export type PendingAnswer = {
	readonly target: TargetServer;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly attemptId: string;
	readonly answer: Uint8Array;
};

type AnswerHandler = (pending: PendingAnswer, fault: AnswerFault) => Promise<void> | void;

const unusedAttemptId = 'attempt-of-nobody';

function sendWhole({response, answer}: PendingAnswer): void {
	response.setHeader('content-length', answer.byteLength);
	response.end(answer);
}

function sendPart({response, answer}: PendingAnswer): void {
	response.setHeader('content-length', answer.byteLength);
	response.write(answer.subarray(0, Math.floor(answer.byteLength / 2)));
}

function crash({target}: PendingAnswer, fault: AnswerFault): void {
	if ('downMs' in fault) {
		target.crashFor(fault.downMs);
	}
}

export const answerHandlers: Readonly<Record<AnswerFaultKind, AnswerHandler>> = {
	none: sendWhole,
	async late(pending, fault) {
		await sleep(fault.kind === 'late' ? fault.lateMs : 0);
		sendWhole(pending);
	},
	crossed({target, response, attemptId}) {
		const other = target.ledger.findOther(attemptId);
		response.setHeader(attemptHeader, other?.attemptId ?? unusedAttemptId);
		response.end(computeAnswer(other?.requestId ?? unusedAttemptId, new Uint8Array(0)));
	},
	twice({request, response, attemptId, answer}) {
		const head = `HTTP/1.1 200 OK\r\n${attemptHeader}: ${attemptId}\r\ncontent-length: ${answer.byteLength}\r\n\r\n`;
		response.detachSocket(request.socket);
		for (let count = 0; count < 2; count++) {
			request.socket.write(head);
			request.socket.write(answer);
		}
	},
	cut(pending) {
		sendPart(pending);
		setImmediate(() => {
			resetSocket(pending.request.socket);
		});
	},
	'wrong-length'(pending) {
		sendPart(pending);
		pending.request.socket.end();
	},
	silent({target, request}) {
		target.silence(request.socket);
	},
	'crash-before': crash,
	'crash-during': crash,
	'crash-after': crash,
};
