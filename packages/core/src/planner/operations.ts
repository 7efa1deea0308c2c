/** Operations on the platform. After a lost answer the operation's state is read first, and the call is repeated with the same id only if the platform does not know it. */
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

/** An operation that a host's chain needs. Its id is derived from the chain's operation id, the kind and the number of the try. */
export type WantedOperation = {
	readonly host: FleetHost;
	readonly kind: OperationKind;
	readonly pool?: PoolId;
	readonly deadline: Instant;
	/** Maximum number of tries. Each retry after a failure has a new id. */
	readonly tries: number;
};

/** The state of a wanted operation, and the calls to make for it. */
export type OperationProgress = {
	readonly state: 'pending' | 'done' | 'failed';
	readonly effects: Effect[];
};

const pending: OperationProgress = {state: 'pending', effects: []};

/** Continues an operation with the first try that has not failed. */
export function runOperation(state: State, wanted: WantedOperation): OperationProgress {
	for (let tryNumber = 1; tryNumber <= Math.min(wanted.tries, maximumTries); tryNumber++) {
		const operation = findOrCreateOperation(state, wanted, tryNumber);
		if (operation.state === 'done') {
			return {state: 'done', effects: []};
		}

		if (operation.state !== 'failed') {
			return operation.isInFlight || operation.nextCallAt > state.now ? pending : sendOperation(state, wanted, operation);
		}
	}

	return {state: 'failed', effects: []};
}

/** The known state of the first try of an operation for a host's chain; creates an entry if there is none. */
export function findFirstTry(state: State, host: FleetHost, kind: OperationKind): KnownOperation {
	return findOrCreateOperation(state, {host, kind}, 1);
}

function findOrCreateOperation(state: State, {host, kind}: Pick<WantedOperation, 'host' | 'kind'>, tryNumber: number): KnownOperation {
	const operationId = `${host.chain?.operationId ?? ''}.${kind}.${tryNumber}` as OperationId;
	const known = state.planner.operations.get(operationId);
	if (known) {
		return known;
	}

	const isOwn = host.chain?.term === findOwnTerm(state);
	const operation: KnownOperation = {
		operationId, state: isOwn ? 'absent' : 'unknown', isInFlight: false, nextCallAt: addMilliseconds(state.now, Math.min(tryNumber - 1, maximumBackoffSteps) * pollIntervalMs),
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
		// The next call of `runOperation` continues with the next try, or reports the failure if no try is left.
		operation.state = 'failed';
		return pending;
	}

	if (!isCallSafe(state, wanted)) {
		return pending;
	}

	operation.isInFlight = true;
	operation.state = 'unknown';
	return {
		state: 'pending',
		effects: [{
			type: 'operation/start', operationId, hostId: wanted.host.hostId, kind: wanted.kind, pool: wanted.pool, deadline: wanted.deadline,
		}],
	};
}

/** Checks the term, the age of the list of workers and, before a drain, that the pool lacks no healthy hosts. */
function isCallSafe(state: State, {host, kind}: WantedOperation): boolean {
	if (findOwnTerm(state) === undefined || !hasFreshWorkers(state)) {
		return false;
	}

	return kind !== 'drain' || isKnownDown(state, host) || countMissingHosts(state, host.pool) === 0;
}

/** Stores the reported state of an operation. */
export function updateOperation(state: State, operationId: OperationId, reported: KnownOperation['state']): void {
	const operation = state.planner.operations.get(operationId);
	if (!operation) {
		return;
	}

	operation.isInFlight = false;
	operation.state = reported;
	operation.nextCallAt = reported === 'absent' ? state.now : addMilliseconds(state.now, pollIntervalMs);
}

const chainEndSchemas = new Set(['outage-end', 'outage-return', 'move-joined']);

/** Removes the operations of a chain that has ended. */
export function removeOperations(state: State, logged: LoggedRecord, outcome: RecordOutcome): void {
	if (outcome.verdict !== 'accepted' || !chainEndSchemas.has(logged.record.schema)) {
		return;
	}

	const ended = (logged.record.body as ChainStepBody).operationId;
	state.planner.returningOutages.delete(ended);
	for (const operationId of state.planner.operations.keys()) {
		if (operationId.startsWith(`${ended}.`)) {
			state.planner.operations.delete(operationId);
		}
	}
}
