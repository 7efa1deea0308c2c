/** Appends this host's records in batches, within a rate, and again under the same id until they are read back. */
import {unsafeUniformIntDistribution} from 'pure-rand';
import type {Effect} from '../types/effects.js';
import type {RecordId} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {PendingRecord} from './state.js';

/** How long a record waits for others to share its append. */
export const batchWindowMs = 20;
/** Between two appends of one host: 20 a second, so that nine hosts stay under 200. */
export const appendIntervalMs = 50;
const maxBatchRecords = 200;
const maxAppendsInFlight = 4;
/** When an answered append is sent again unless its records were read back. */
const readBackTimeoutMs = 3000;
const firstRetryMs = 250;
const longestRetryMs = 8000;
const defaultGiveUpMs = 30_000;
/** After as many failures in a row the log counts as away for appends. */
const awayFailures = 3;
const awayMs = 2000;

/** Queues a record of this host for the log; it is sent within a batch and again until it is read back or given up. */
export function queueRecord(state: State, record: LogRecord, giveUpAt: Instant = addMilliseconds(state.now, defaultGiveUpMs)): Effect[] {
	const known = state.log.pending.get(record.recordId);
	if (known) {
		known.giveUpAt = Math.max(known.giveUpAt, giveUpAt) as Instant;
		return [];
	}

	state.log.pending.set(record.recordId, {
		record, giveUpAt, sendAt: state.now, sendCount: 0, isInFlight: false,
	});
	return scheduleFlush(state);
}

/** Whether the log is known to be away, so that an append would only wait. */
export function isLogUnavailable(state: State): boolean {
	const {log} = state;
	const areAppendsFailing = log.failedAppends >= awayFailures
		&& log.appendFailedAt !== undefined
		&& addMilliseconds(log.appendFailedAt, awayMs) > state.now;
	return !log.isReachable || areAppendsFailing;
}

/** Whether a record may have left this host. */
export function isRecordSent(state: State, recordId: RecordId): boolean {
	return (state.log.pending.get(recordId)?.sendCount ?? 1) > 0;
}

/** Sends what is due, if the rate allows. */
export function sendAppends(state: State): Effect[] {
	const {log} = state;
	if (state.now < log.nextAppendAt || log.appendsInFlight >= maxAppendsInFlight) {
		return [];
	}

	const due = [...log.pending.values()].filter(pending => isDue(state, pending)).slice(0, maxBatchRecords);
	if (due.length === 0) {
		return [];
	}

	for (const pending of due) {
		pending.isInFlight = true;
		pending.sendCount += 1;
	}

	log.appendsInFlight += 1;
	log.nextAppendAt = addMilliseconds(state.now, appendIntervalMs);
	return [{type: 'log/append', records: due.map(pending => pending.record)}];
}

/** Notes the end of an append. A lost answer shows as failed though the records may be in the log. */
export function noteAppendEnd(state: State, recordIds: readonly RecordId[], hasFailed: boolean): Effect[] {
	const {log} = state;
	log.appendsInFlight = Math.max(0, log.appendsInFlight - 1);
	log.failedAppends = hasFailed ? log.failedAppends + 1 : 0;
	log.appendFailedAt = hasFailed ? state.now : log.appendFailedAt;
	for (const recordId of recordIds) {
		const pending = log.pending.get(recordId);
		if (pending) {
			pending.isInFlight = false;
			pending.sendAt = addMilliseconds(state.now, hasFailed ? drawRetryMs(state, pending.sendCount) : readBackTimeoutMs);
		}
	}

	return [];
}

/** Gives up what has waited too long, and sends what is due. */
export function tickAppends(state: State): Effect[] {
	for (const [recordId, pending] of state.log.pending) {
		if (pending.giveUpAt <= state.now && !pending.isInFlight) {
			state.log.pending.delete(recordId);
		}
	}

	return sendAppends(state);
}

/** Handles a due flush. */
export function finishFlush(state: State): Effect[] {
	state.log.isFlushScheduled = false;
	return sendAppends(state);
}

function scheduleFlush(state: State): Effect[] {
	const {log} = state;
	if (log.isFlushScheduled) {
		return [];
	}

	log.isFlushScheduled = true;
	return [{type: 'log/schedule-flush', at: Math.max(addMilliseconds(state.now, batchWindowMs), log.nextAppendAt) as Instant}];
}

function isDue(state: State, pending: PendingRecord): boolean {
	return !pending.isInFlight && pending.sendAt <= state.now && pending.giveUpAt > state.now;
}

/** Exponential backoff with jitter: between half and all of the step. */
function drawRetryMs(state: State, sendCount: number): number {
	const step = Math.min(longestRetryMs, firstRetryMs * (2 ** Math.max(0, sendCount - 1)));
	return unsafeUniformIntDistribution(Math.ceil(step / 2), step, state.log.random);
}
