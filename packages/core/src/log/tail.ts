/** Follows the tail of the fleet stream, whatever the platform answers: old, shortened or gapped logs, or none. */
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {applyLoggedRecords} from './applying.js';
import type {LogReadEvent} from './events.js';
import {startFromLog} from './start.js';

/** Between two reads that brought nothing to apply. */
const idleReadMs = 50;
/** Between two reads of a log that cannot be followed. */
const brokenReadMs = 300;
/** The longest that a woken process waits to hear of the log before it serves on with what it has. */
export const wakeWaitMs = 3000;

/** Applies what was read and reads on. */
export function acceptLogPage(state: State, page: LogReadEvent): Effect[] {
	const {log} = state;
	log.isReading = false;
	log.isReachable = true;
	log.lastContactAt = state.now;
	log.firstOffset = page.firstOffset;
	const effects = startFromLog(state, page);
	if (log.startedFrom === undefined) {
		log.readAt = addMilliseconds(state.now, brokenReadMs);
		return effects;
	}

	const before = state.fleet.nextOffset;
	effects.push(...applyLoggedRecords(state, page.records), ...noteLogShape(state, page));
	log.hasFollowed ||= page.nextOffset <= state.fleet.nextOffset;
	if (log.readStartedAt + wakeWaitMs >= log.mustCatchUpUntil && page.nextOffset <= state.fleet.nextOffset) {
		log.mustCatchUpUntil = 0 as Instant;
	}

	const isBroken = log.isGapped || log.isShortened;
	log.readAt = addMilliseconds(isBroken ? state.now : log.readStartedAt, isBroken ? brokenReadMs : idleReadMs);
	if (state.fleet.nextOffset > before) {
		log.readAt = state.now;
	}

	return [...effects, ...tickTail(state)];
}

/** Notes that the log did not answer. */
export function noteReadFailure(state: State): Effect[] {
	state.log.isReading = false;
	state.log.isReachable = false;
	state.log.hasFollowed = true;
	state.log.readAt = state.now;
	return tickTail(state);
}

/** Reads on when it is time. */
export function tickTail(state: State): Effect[] {
	const {log} = state;
	if (log.isReading || state.now < log.readAt) {
		return [];
	}

	log.isReading = true;
	log.readStartedAt = state.now;
	log.readFrom = state.fleet.nextOffset;
	return [{type: 'log/read', from: state.fleet.nextOffset}];
}

function noteLogShape(state: State, page: LogReadEvent): Effect[] {
	const {log, fleet} = state;
	const wasGapped = log.isGapped;
	const wasShortened = log.isShortened;
	log.isGapped = page.firstOffset > fleet.nextOffset;
	log.isShortened = page.nextOffset < log.readFrom;
	const fields = {nextOffset: fleet.nextOffset, logFirstOffset: page.firstOffset, logNextOffset: page.nextOffset};
	const effects: Effect[] = [];
	if (log.isGapped && !wasGapped) {
		log.snapshots.readAt = 0 as Instant;
		effects.push({
			type: 'line/write', level: 'error', event: 'records before the first of the log are missing here', fields,
		});
	}

	if (log.isShortened && !wasShortened) {
		effects.push({
			type: 'line/write', level: 'error', event: 'the log ends before what was applied here', fields,
		});
	}

	return effects;
}
