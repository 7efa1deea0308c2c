/** Operations on the platform: started once, read back after a lost answer, repeated under the same id. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import type {ChainStepBody} from '../pools/bodies.js';
import type {FleetHost} from '../pools/state.js';
import type {Effect} from '../types/effects.js';
import type {OperationId, PoolId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {KnownOperation} from './state.js';
import {estimateLogTime, findOwnTerm, hasFreshWorkers} from './leadership.js';
import {countMissingHosts, isKnownDown} from './shortage.js';
import type {OperationKind} from './workers.js';

const pollIntervalMs = 500;
const maximumTries = 100;
const maximumBackoffSteps = 20;

/** An operation that a chain needs. `operationId` is the chain's; each kind and try has an id of its own. */
export type WantedOperation = {
	readonly host: FleetHost;
	readonly kind: OperationKind;
	readonly pool?: PoolId;
	readonly deadline: Instant;
	/** How often to try anew, under a new id, after it failed. */
	readonly tries: number;
};

/** Where a wanted operation stands, and the calls to bring it on. */
export type OperationProgress = {
	readonly state: 'pending' | 'done' | 'failed';
	readonly effects: Effect[];
};

const pending: OperationProgress = {state: 'pending', effects: []};

/** Brings an operation on: the first try that has not failed counts. */
export function runOperation(state: State, wanted: WantedOperation): OperationProgress {
	for (let attempt = 1; attempt <= Math.min(wanted.tries, maximumTries); attempt++) {
		const operation = findOperation(state, wanted, attempt);
		if (operation.state === 'done') {
			return {state: 'done', effects: []};
		}

		if (operation.state !== 'failed') {
			return operation.isInFlight || operation.callAt > state.now ? pending : sendOperation(state, wanted, operation);
		}
	}

	return {state: 'failed', effects: []};
}

/** What is known of the first try of an operation that a host's chain needs. */
export function findFirstTry(state: State, host: FleetHost, kind: OperationKind): KnownOperation {
	return findOperation(state, {host, kind}, 1);
}

function findOperation(state: State, {host, kind}: Pick<WantedOperation, 'host' | 'kind'>, attempt: number): KnownOperation {
	const operationId = `${host.chain?.operationId ?? ''}.${kind}.${attempt}` as OperationId;
	const known = state.planner.operations.get(operationId);
	if (known) {
		return known;
	}

	const isOwn = host.chain?.term === findOwnTerm(state);
	const operation: KnownOperation = {
		operationId, state: isOwn ? 'absent' : 'unsure', isInFlight: false, callAt: addMilliseconds(state.now, Math.min(attempt - 1, maximumBackoffSteps) * pollIntervalMs),
	};
	state.planner.operations.set(operationId, operation);
	return operation;
}

function sendOperation(state: State, wanted: WantedOperation, operation: KnownOperation): OperationProgress {
	const {operationId} = operation;
	if (operation.state !== 'absent') {
		operation.isInFlight = true;
		return {state: 'pending', effects: [{type: 'operation/read', operationId}]};
	}

	if (wanted.deadline <= estimateLogTime(state)) {
		operation.state = 'failed';
		return pending;
	}

	if (!isCallSafe(state, wanted)) {
		return pending;
	}

	operation.isInFlight = true;
	operation.state = 'unsure';
	return {
		state: 'pending',
		effects: [{
			type: 'operation/start', operationId, hostId: wanted.host.hostId, kind: wanted.kind, pool: wanted.pool, deadline: wanted.deadline,
		}],
	};
}

/** Checks term, freshness and, before a host leaves service, the pool's health once more. */
function isCallSafe(state: State, {host, kind}: WantedOperation): boolean {
	if (findOwnTerm(state) === undefined || !hasFreshWorkers(state)) {
		return false;
	}

	return kind !== 'drain' || isKnownDown(state, host) || countMissingHosts(state, host.pool) === 0;
}

/** Takes in what the platform told of an operation. */
export function updateOperation(state: State, operationId: OperationId, told: KnownOperation['state']): void {
	const operation = state.planner.operations.get(operationId);
	if (!operation) {
		return;
	}

	operation.isInFlight = false;
	operation.state = told;
	operation.callAt = told === 'absent' ? state.now : addMilliseconds(state.now, pollIntervalMs);
}

const chainEndSchemas = new Set(['outage-end', 'outage-return', 'move-joined']);

/** Forgets the operations of a chain that has ended. */
export function removeOperations(state: State, logged: LoggedRecord, outcome: RecordOutcome): void {
	if (outcome.verdict !== 'accepted' || !chainEndSchemas.has(logged.record.schema)) {
		return;
	}

	const ended = (logged.record.body as ChainStepBody).operationId;
	state.planner.returning.delete(ended);
	for (const operationId of state.planner.operations.keys()) {
		if (operationId.startsWith(`${ended}.`)) {
			state.planner.operations.delete(operationId);
		}
	}
}
