/** Sends attempts to targets and passes whole answers on to callers. */
import {createFault, type EffectOf} from '@rhubarblever/core';
import type {Dispatcher} from 'undici';
import {readClock} from '../clock.js';
import type {CallTable} from '../http/call-table.js';
import type {EventSink} from '../types.js';
import {
	createEndEvent, createFailure, createSendFailure, type AttemptEnd,
} from './attempt-end.js';
import {TargetConnections, type TargetConnection} from './target-connections.js';

const attemptHeader = 'rhubarblever-attempt-id';
const notRunHeader = 'rhubarblever-not-run';
const leavingHeader = 'rhubarblever-leaving';

type DispatchEffect = EffectOf<'attempt/dispatch'>;

export class TargetClient {
	static create(calls: CallTable, push: EventSink): TargetClient {
		return new TargetClient(calls, push);
	}

	private readonly targets = new Map<string, TargetConnections>();

	private constructor(private readonly calls: CallTable, private readonly push: EventSink) {}

	/** Runs one attempt and raises the event of its end. */
	async dispatch(effect: DispatchEffect): Promise<void> {
		const connections = this.getConnections(effect.address);
		const connection = connections.take(effect.isIdempotent, effect.needsFreshConnection);
		const end = await this.runAttempt(effect, connection);
		closeOrRelease(connections, connection, end);
		if (connections.size === 0) {
			this.targets.delete(effect.address);
		}

		this.push(createEndEvent(effect.attemptId, end));
	}

	/** Closes all connections. */
	close(): void {
		for (const connections of this.targets.values()) {
			connections.closeAll();
		}
	}

	private getConnections(address: string): TargetConnections {
		const connections = this.targets.get(address) ?? TargetConnections.create(address);
		this.targets.set(address, connections);
		return connections;
	}

	private async runAttempt(effect: DispatchEffect, connection: TargetConnection): Promise<AttemptEnd> {
		const giveUp = new AbortController();
		const timer = setTimeout(() => {
			giveUp.abort(new DOMException('the target did not answer in time', 'TimeoutError'));
		}, Math.max(1, effect.giveUpAt - readClock()));
		try {
			const response = await connection.client.request({
				path: '/run',
				method: 'POST',
				body: this.calls.getBody(effect.callerKey),
				headers: {[attemptHeader]: effect.attemptId, 'idempotency-key': effect.requestId},
				signal: giveUp.signal,
			});
			clearTimeout(timer);
			return await this.passResponse(effect, connection, response);
		} catch (error) {
			return createSendFailure(error as Error, connection.hasConnected);
		} finally {
			clearTimeout(timer);
		}
	}

	private async passResponse(effect: DispatchEffect, connection: TargetConnection, response: Dispatcher.ResponseData): Promise<AttemptEnd> {
		if (response.headers[attemptHeader] !== effect.attemptId) {
			response.body.on('error', () => undefined).destroy();
			return createFailure(createFault('answer-crossed', 'the answer names another attempt'));
		}

		if (response.headers[leavingHeader] === 'true') {
			this.push({type: 'target/leaving', at: readClock(), target: effect.target});
		}

		if (response.headers[notRunHeader] === 'true') {
			await response.body.dump();
			return createFailure(createFault('target-busy', `the target answered ${response.statusCode}`), {wasRefused: true});
		}

		const passed = await this.calls.passAnswer(effect.callerKey, response, () => !connection.hasStrayBytes);
		return passed.isWhole
			? {kind: 'answered', status: response.statusCode}
			: createFailure(createFault('answer-cut', 'the answer did not have the length it declared'), {hasAnswerBegun: passed.hasBegun});
	}
}

function closeOrRelease(connections: TargetConnections, connection: TargetConnection, end: AttemptEnd): void {
	if (end.kind === 'answered' || end.wasRefused) {
		connections.release(connection);
	} else if (end.fault.kind === 'answer-crossed' || end.fault.kind === 'answer-cut') {
		connections.close(connection);
	} else {
		connections.closeSilent(connection);
	}
}
