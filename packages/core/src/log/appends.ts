/** Appends this host's records to the log in batches and at a limited rate, and retries each under the same id until it is read back. */
import {unsafeUniformIntDistribution} from 'pure-rand';
import type {Effect} from '../types/effects.js';
import type {RecordId} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import type {PendingRecord} from './state.js';

/** How long a record waits so that later ones can join its batch. */
export const batchWindowMs = 20;
/** Minimum time between two appends of one host: 20 a second, so that nine hosts stay under 200. */
export const appendIntervalMs = 50;
const maxBatchRecords = 200;
const maxAppendsInFlight = 4;
/** A confirmed append is sent again if its records were not read back within this time. */
const readBackTimeoutMs = 3000;
const initialRetryMs = 250;
const maxRetryMs = 8000;
const defaultGiveUpMs = 30_000;
/** After this many failed appends in a row, the log counts as unavailable for `unavailableMs`. */
const unavailableAfterFailures = 3;
const unavailableMs = 2000;

/** Queues a record of this host for the log. It is sent with a batch, and retried until it is read back or `giveUpAt` has passed. */
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

/** Whether the log is known not to answer reads or appends, so that an append would only wait. */
export function isLogUnavailable(state: State): boolean {
	const {log} = state;
	const areAppendsFailing = log.failedAppends >= unavailableAfterFailures
		&& log.appendFailedAt !== undefined
		&& addMilliseconds(log.appendFailedAt, unavailableMs) > state.now;
	return !log.isReachable || areAppendsFailing;
}

/** Whether a record may have been sent to the log; true for a record that is not pending. */
export function isRecordSent(state: State, recordId: RecordId): boolean {
	return (state.log.pending.get(recordId)?.sendCount ?? 1) > 0;
}

/** Sends the records that are due, if the rate limit and the number of appends in flight allow it. */
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

/** Handles the result of an append and schedules the retry of its records. If the answer was lost, the append counts as failed although its records may be in the log. */
export function handleAppendEnd(state: State, recordIds: readonly RecordId[], hasFailed: boolean): Effect[] {
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

/** Drops the records whose `giveUpAt` has passed, and sends those that are due. */
export function tickAppends(state: State): Effect[] {
	for (const [recordId, pending] of state.log.pending) {
		if (pending.giveUpAt <= state.now && !pending.isInFlight) {
			state.log.pending.delete(recordId);
		}
	}

	return sendAppends(state);
}

/** Sends the due records when a scheduled flush is due. */
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

/** Exponential backoff with jitter: a random delay between half of the step and the whole step. */
function drawRetryMs(state: State, sendCount: number): number {
	const step = Math.min(maxRetryMs, initialRetryMs * (2 ** Math.max(0, sendCount - 1)));
	return unsafeUniformIntDistribution(Math.ceil(step / 2), step, state.log.random);
}
