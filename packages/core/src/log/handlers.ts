/** Reads the tail of the log into the fleet and appends this host's own records. */
import {applyRecord} from '../fleet/apply-record.js';
import {releaseWaitingPublishers} from '../fleet/publishing.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {LogEvent} from './events.js';

const appendRetryMs = 500;

/** Queues a record of this host for the log; it is sent at once and again until it is read back. */
export function queueRecord(state: State, record: LogRecord): Effect[] {
	state.log.pending.set(record.recordId, {
		record,
		retryAt: addMilliseconds(state.now, appendRetryMs),
		isInFlight: true,
	});
	return [{type: 'log/append', records: [record]}];
}

export const logHandlers: HandlerTable<LogEvent['type']> = {
	'log/read'(state, event) {
		state.log.isReachable = true;
		state.log.lastContactAt = event.at;
		const effects: Effect[] = [];
		for (const logged of event.records) {
			if (logged.offset < state.fleet.nextOffset) {
				continue;
			}

			const outcome = applyRecord(state.fleet, logged);
			state.log.pending.delete(logged.record.recordId);
			effects.push(...releaseWaitingPublishers(state, logged, outcome));
		}

		effects.push({type: 'log/read', from: state.fleet.nextOffset});
		return effects;
	},
	'log/read-failed'(state) {
		state.log.isReachable = false;
		return [{type: 'log/read', from: state.fleet.nextOffset}];
	},
	'log/appended'() {
		return [];
	},
	'log/append-failed'(state, event) {
		for (const recordId of event.recordIds) {
			const pending = state.log.pending.get(recordId);
			if (pending) {
				pending.isInFlight = false;
				pending.retryAt = addMilliseconds(event.at, appendRetryMs);
			}
		}

		return [];
	},
};

/** Appends again what was not read back in time. */
export function tickLog(state: State): Effect[] {
	const records: LogRecord[] = [];
	for (const pending of state.log.pending.values()) {
		if (pending.isInFlight || pending.retryAt > state.now) {
			continue;
		}

		pending.isInFlight = true;
		records.push(pending.record);
	}

	return records.length === 0 ? [] : [{type: 'log/append', records}];
}
