/** The ledger record of learned run times, by which a new leader starts with what the former one knew. */
import {describeError, noteWarning} from './logging.js';
import {
	createRunTimes, ensureKey, listKeys, type LearnedRuns, type RunTimes,
} from './run-time-keys.js';
import {addOlderValues, countValues, listBuckets} from './run-time-sketch.js';
import type {LedgerRecord, RunTimesRow} from './types.js';
import type {SchedulerState} from './state.js';

/** All hosts read the record along, packed; it takes some 60 KB with 256 keys. */
const storeIntervalMs = 5000;

/** The record, if something was learned and the last one is old enough. */
export function takeRunTimesRecord({runTimes, now}: SchedulerState): LedgerRecord[] {
	if (!runTimes.isDirty || now < runTimes.storeDueAt) {
		return [];
	}

	runTimes.isDirty = false;
	runTimes.storeDueAt = now + storeIntervalMs;
	const keys = [runTimes.fleet, ...listKeys(runTimes)].filter(key => countValues(key.durations) > 0);
	return [{type: 'run-times', rows: keys.map(key => createRow(key))}];
}

function createRow(key: LearnedRuns): RunTimesRow {
	return {
		queue: key.queue ?? '', shape: key.shape, runs: countValues(key.durations), durationError: key.durationError, ratioError: key.ratioError, durations: listBuckets(key.durations), ratios: listBuckets(key.ratios),
	};
}

/** Replaces what this host has learned by the stored record, if there is one. If it cannot be used, this host keeps what it has learned itself. */
export function restoreRunTimes(state: SchedulerState): void {
	const record = state.storedRunTimes;
	state.storedRunTimes = undefined;
	if (!record) {
		return;
	}

	const restored = createRunTimes();
	try {
		for (const row of record.rows) {
			restoreRow(restored, row, state.now);
		}

		state.runTimes = {...restored, calibration: state.runTimes.calibration, calibratedRuns: state.runTimes.calibratedRuns};
	} catch (error) {
		noteWarning(state, 'run-times-not-restored', {reason: describeError(error)});
	}
}

function restoreRow(runTimes: RunTimes, row: RunTimesRow, now: number): void {
	const key = row.queue === '' ? runTimes.fleet : ensureKey(runTimes, row.queue, row.shape, now);
	key.generationSince = now;
	key.durationError = row.durationError;
	key.ratioError = row.ratioError;
	addOlderValues(key.durations, row.durations, row.runs);
	addOlderValues(key.ratios, row.ratios, row.runs);
}
