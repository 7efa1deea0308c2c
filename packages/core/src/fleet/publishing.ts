/** Publishing: appends an operator's records to the log and answers once this host has read all of them back from it. */
import {isLogUnavailable, queueRecord, isRecordSent} from '../log/appends.js';
import type {Effect} from '../types/effects.js';
import {createFault, type Fault, type FaultKind} from '../types/faults.js';
import type {HandlerTable} from '../types/handlers.js';
import type {CallerKey, RecordId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {RecordOutcome} from './apply-record.js';
import type {PublishedRecord} from './effects.js';
import type {FleetEvent} from './events.js';

/** A publish call that still waits for records to be read back from the log. */
export type WaitingPublisher = {
	readonly callerKey: CallerKey;
	readonly deadline: Instant;
	/** Ids of the records not read back yet. */
	readonly missing: Set<RecordId>;
	readonly published: PublishedRecord[];
};

const retryAfterMs = 1000;

export const fleetHandlers: HandlerTable<FleetEvent['type']> = {
	'publish/requested'(state, event) {
		const kind = findRefusal(state);
		if (kind) {
			return [createFaultAnswer(state, event.callerKey, {kind, detail: 'nothing was sent to the log'})];
		}

		state.requests.publishers.set(event.callerKey, {
			callerKey: event.callerKey,
			deadline: event.deadline,
			missing: new Set(event.records.map(record => record.recordId)),
			published: [],
		});
		return event.records.flatMap(record => queueRecord(state, record, event.deadline));
	},
};

function findRefusal(state: State): FaultKind | undefined {
	if (state.isStopping) {
		return 'shutting-down';
	}

	if (state.log.startedFrom === undefined) {
		return 'not-ready';
	}

	return isLogUnavailable(state) ? 'log-unavailable' : undefined;
}

/** Confirms a record that was read back from the log; answers each publisher that waits for no other record. */
export function confirmPublishedRecord(state: State, logged: LoggedRecord, outcome: RecordOutcome): Effect[] {
	const effects: Effect[] = [];
	for (const publisher of state.requests.publishers.values()) {
		if (!publisher.missing.delete(logged.record.recordId)) {
			continue;
		}

		publisher.published.push({recordId: logged.record.recordId, offset: logged.offset, outcome});
		if (publisher.missing.size === 0) {
			state.requests.publishers.delete(publisher.callerKey);
			effects.push({type: 'publish/answer', callerKey: publisher.callerKey, published: publisher.published});
		}
	}

	return effects;
}

/** Answers the publishers whose deadline has passed with a fault. Their unconfirmed records may still be in the log. */
export function tickPublishers(state: State): Effect[] {
	const effects: Effect[] = [];
	for (const publisher of state.requests.publishers.values()) {
		if (publisher.deadline > state.now) {
			continue;
		}

		state.requests.publishers.delete(publisher.callerKey);
		effects.push(createFaultAnswer(state, publisher.callerKey, createTimeoutFault(state, publisher)));
		for (const recordId of publisher.missing) {
			state.log.pending.delete(recordId);
		}
	}

	return effects;
}

function createTimeoutFault(state: State, publisher: WaitingPublisher): Fault {
	const missing = [...publisher.missing];
	const wasAnySent = publisher.published.length > 0 || missing.some(recordId => isRecordSent(state, recordId));
	if (!wasAnySent) {
		return createFault('log-unavailable', 'nothing was sent to the log');
	}

	const inLog = publisher.published.map(({recordId, offset}) => `${recordId} is at offset ${offset}`).join(', ') || 'none was read back';
	return createFault('append-unknown', `not read back before the deadline: ${missing.join(', ')}; ${inLog}`);
}

function createFaultAnswer(state: State, callerKey: CallerKey, fault: Fault): Effect {
	return {
		type: 'caller/refuse', callerKey, fault, retryAt: addMilliseconds(state.now, retryAfterMs),
	};
}
