/** Sends attempts to targets and passes whole answers on to callers. */
import {
	createFault, type AttemptId, type EffectOf, type Fault,
} from '@rhubarblever/core';
import {Agent, type Dispatcher} from 'undici';
import {readClock} from '../clock.js';
import type {CallTable} from '../http/call-table.js';
import type {EventSink} from '../types.js';

const connectionsPerTarget = 6;
const connectTimeoutMs = 1000;
const attemptHeader = 'rhubarblever-attempt-id';
const notRunHeader = 'rhubarblever-not-run';

type DispatchEffect = EffectOf<'attempt/dispatch'>;

/** How an attempt ended, from the client's side. */
type AttemptEnd
	= | {readonly kind: 'answered'; readonly status: number}
		| {readonly kind: 'failed'; readonly fault: Fault; readonly wasSent: boolean; readonly wasRefused: boolean; readonly hasAnswerBegun: boolean};

export class TargetClient {
	static create(calls: CallTable, push: EventSink): TargetClient {
		return new TargetClient(calls, push);
	}

	private readonly agent = new Agent({connections: connectionsPerTarget, pipelining: 1, connect: {timeout: connectTimeoutMs}});

	private constructor(private readonly calls: CallTable, private readonly push: EventSink) {}

	/** Runs one attempt and raises the event of its end. */
	async dispatch(effect: DispatchEffect): Promise<void> {
		const end = await this.runAttempt(effect);
		this.push(createEndEvent(effect.attemptId, end));
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async runAttempt(effect: DispatchEffect): Promise<AttemptEnd> {
		const body = this.calls.getBody(effect.callerKey);
		let response: Dispatcher.ResponseData;
		try {
			response = await this.agent.request({
				origin: `http://${effect.address}`,
				path: '/run',
				method: 'POST',
				body,
				headers: {[attemptHeader]: effect.attemptId, 'idempotency-key': effect.requestId},
				signal: AbortSignal.timeout(Math.max(1, effect.giveUpAt - readClock())),
			});
		} catch (error) {
			return createSendFailure(error as Error & {code?: string});
		}

		if (response.headers[attemptHeader] !== effect.attemptId) {
			response.body.destroy();
			return createFailure(createFault('answer-crossed', 'the answer names another attempt'), true);
		}

		if (response.headers[notRunHeader] === 'true') {
			await response.body.dump();
			return {
				kind: 'failed',
				fault: createFault('target-busy', `the target answered ${response.statusCode}`),
				wasSent: true,
				wasRefused: true,
				hasAnswerBegun: false,
			};
		}

		const isWhole = await this.calls.passAnswer(effect.callerKey, response);
		return isWhole
			? {kind: 'answered', status: response.statusCode}
			: {...createFailure(createFault('answer-cut', 'the answer ended early'), true), hasAnswerBegun: true};
	}
}

function createFailure(fault: Fault, wasSent: boolean): Extract<AttemptEnd, {kind: 'failed'}> {
	return {
		kind: 'failed', fault, wasSent, wasRefused: false, hasAnswerBegun: false,
	};
}

const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function createSendFailure(error: Error & {code?: string}): AttemptEnd {
	if (unsentCodes.has(error.code ?? '')) {
		return createFailure(createFault('no-target', `the target cannot be reached: ${error.code}`), false);
	}

	const kind = error.name === 'TimeoutError' ? 'answer-timeout' : 'answer-lost';
	return createFailure(createFault(kind, error.message), true);
}

function createEndEvent(attemptId: AttemptId, end: AttemptEnd) {
	const at = readClock();
	return end.kind === 'answered'
		? {
			type: 'attempt/answered' as const, at, attemptId, status: end.status,
		}
		: {
			type: 'attempt/failed' as const,
			at,
			attemptId,
			fault: end.fault,
			wasSent: end.wasSent,
			wasRefused: end.wasRefused,
			hasAnswerBegun: end.hasAnswerBegun,
		};
}
