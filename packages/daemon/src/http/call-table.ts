/** Open HTTP calls of callers and operators: their request bodies and the responses that are not yet sent. */
import type {ServerResponse} from 'node:http';
import {
	getFaultAnswer, type CallerKey, type Fault, type Instant,
} from '@rhubarblever/core';
import type {Dispatcher} from 'undici';
import {readClock} from '../clock.js';
import {sendAnswer, type AnswerTransfer} from './pass-answer.js';

type OpenCall = {readonly body: Uint8Array; readonly response: ServerResponse};

export class CallTable {
	static create(hostId: string): CallTable {
		return new CallTable(hostId);
	}

	private readonly calls = new Map<CallerKey, OpenCall>();
	private callCount = 0;
	private isClosing = false;

	private constructor(private readonly hostId: string) {}

	/** Adds `connection: close` to the answers of all open and later calls. */
	closeConnectionsAfterAnswers(): void {
		this.isClosing = true;
		for (const {response} of this.calls.values()) {
			closeAfterAnswer(response);
		}
	}

	/** Registers a call until its response closes; returns the key of the call. */
	register(body: Uint8Array, response: ServerResponse): CallerKey {
		this.callCount += 1;
		const callerKey = `${this.hostId}-${this.callCount}` as CallerKey;
		this.calls.set(callerKey, {body, response});
		if (this.isClosing) {
			closeAfterAnswer(response);
		}

		response.once('close', () => {
			this.calls.delete(callerKey);
		});
		return callerKey;
	}

	getBody(callerKey: CallerKey): Uint8Array {
		return this.calls.get(callerKey)?.body ?? new Uint8Array(0);
	}

	/** Streams a target's answer to the caller. `hasNoStrayBytes`: the target sent no bytes beyond the length that its answer declared. */
	async passAnswer(callerKey: CallerKey, answer: Dispatcher.ResponseData, hasNoStrayBytes: () => boolean): Promise<AnswerTransfer> {
		const call = this.calls.get(callerKey);
		if (call) {
			return sendAnswer(call.response, answer, hasNoStrayBytes);
		}

		await answer.body.dump();
		return {isComplete: true, hasBegun: false};
	}

	/** Answers with a fault as problem details. `retryAt` sets the `retry-after` header if the fault can be retried. */
	refuse(callerKey: CallerKey, fault: Fault, retryAt: Instant): void {
		const call = this.calls.get(callerKey);
		if (call) {
			sendFault(call.response, fault, retryAt);
		}
	}

	/** Answers with a JSON body. */
	answer(callerKey: CallerKey, body: unknown): void {
		const call = this.calls.get(callerKey);
		if (call) {
			sendJson(call.response, 200, body);
		}
	}
}

function closeAfterAnswer(response: ServerResponse): void {
	if (!response.headersSent) {
		response.setHeader('connection', 'close');
	}
}

/** Sends a fault as `application/problem+json`. If the response has already begun, closes its connection instead. */
export function sendFault(response: ServerResponse, fault: Fault, retryAt: Instant): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const {family, status, title, comeBack} = getFaultAnswer(fault.kind);
	const body = JSON.stringify({
		type: fault.kind, title, status, detail: fault.detail, family,
	});
	response.statusCode = status;
	response.setHeader('content-type', 'application/problem+json');
	response.setHeader('rhubarblever-not-run', String(family === 'refused'));
	if (comeBack) {
		response.setHeader('retry-after', Math.max(1, Math.ceil((retryAt - readClock()) / 1000)));
	}

	response.end(body);
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(body));
}
