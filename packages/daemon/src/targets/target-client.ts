/** Sends attempts to targets and streams their answers to callers. */
import {createFault, type EffectOf} from '@rhubarblever/core';
import type {Dispatcher} from 'undici';
import {readClock} from '../clock.js';
import type {CallTable} from '../http/call-table.js';
import type {EventSink} from '../types.js';
import {
	createOutcomeEvent, createFailure, createCallFailure, type AttemptOutcome,
} from './attempt-outcome.js';
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

	/** Runs one attempt and pushes the event of its outcome. */
	async dispatch(effect: DispatchEffect): Promise<void> {
		const connections = this.getConnections(effect.address);
		const connection = connections.acquire(effect.isIdempotent, effect.needsFreshConnection);
		const outcome = await this.runAttempt(effect, connection);
		closeOrRelease(connections, connection, outcome);
		if (connections.size === 0) {
			this.targets.delete(effect.address);
		}

		this.push(createOutcomeEvent(effect.attemptId, outcome));
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

	private async runAttempt(effect: DispatchEffect, connection: TargetConnection): Promise<AttemptOutcome> {
		const abortController = new AbortController();
		const timer = setTimeout(() => {
			abortController.abort(new DOMException('the target did not answer in time', 'TimeoutError'));
		}, Math.max(1, effect.giveUpAt - readClock()));
		try {
			const response = await connection.client.request({
				path: '/run',
				method: 'POST',
				body: this.calls.getBody(effect.callerKey),
				headers: {[attemptHeader]: effect.attemptId, 'idempotency-key': effect.requestId},
				signal: abortController.signal,
			});
			clearTimeout(timer);
			return await this.passResponse(effect, connection, response);
		} catch (error) {
			return createCallFailure(error as Error, connection.hasConnected);
		} finally {
			clearTimeout(timer);
		}
	}

	private async passResponse(effect: DispatchEffect, connection: TargetConnection, response: Dispatcher.ResponseData): Promise<AttemptOutcome> {
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

		const transfer = await this.calls.passAnswer(effect.callerKey, response, () => !connection.hasStrayBytes);
		return transfer.isComplete
			? {kind: 'answered', status: response.statusCode}
			: createFailure(createFault('answer-cut', 'the answer did not have the length it declared'), {hasAnswerBegun: transfer.hasBegun});
	}
}

function closeOrRelease(connections: TargetConnections, connection: TargetConnection, outcome: AttemptOutcome): void {
	if (outcome.kind === 'answered' || outcome.wasRefused) {
		connections.release(connection);
	} else if (outcome.fault.kind === 'answer-crossed' || outcome.fault.kind === 'answer-cut') {
		connections.close(connection);
	} else {
		connections.closeUnresponsive(connection);
	}
}
