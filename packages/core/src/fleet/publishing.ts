/** Publishing: an operator's records go to the log, and the answer waits until this host has read them back. */
import {queueRecord} from '../log/handlers.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {CallerKey, RecordId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';
import type {RecordOutcome} from './apply-record.js';
import type {PublishedRecord} from './effects.js';
import type {FleetEvent} from './events.js';

/** A publish call whose records are not all read back. */
export type WaitingPublisher = {
	readonly callerKey: CallerKey;
	readonly deadline: Instant;
	readonly missing: Set<RecordId>;
	readonly published: PublishedRecord[];
};

export const fleetHandlers: HandlerTable<FleetEvent['type']> = {
	'publish/requested'(state, event) {
		state.requests.publishers.set(event.callerKey, {
			callerKey: event.callerKey,
			deadline: event.deadline,
			missing: new Set(event.records.map(record => record.recordId)),
			published: [],
		});
		return event.records.flatMap(record => queueRecord(state, record));
	},
};

/** Notes a record that was read back; answers the publishers that have all of theirs. */
export function releaseWaitingPublishers(state: State, logged: LoggedRecord, outcome: RecordOutcome): Effect[] {
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

/** Answers the publishers whose deadline has passed: their records may be in the log. */
export function tickPublishers(state: State): Effect[] {
	const effects: Effect[] = [];
	for (const publisher of state.requests.publishers.values()) {
		if (publisher.deadline > state.now) {
			continue;
		}

		state.requests.publishers.delete(publisher.callerKey);
		effects.push({
			type: 'caller/refuse',
			callerKey: publisher.callerKey,
			fault: {kind: 'append-unknown', detail: 'not read back from the log before the deadline'},
			comeBackAt: state.now,
		});
	}

	return effects;
}
