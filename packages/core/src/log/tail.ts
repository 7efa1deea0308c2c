/** Reads new records of the fleet stream. Handles outdated or truncated logs, logs with a gap, and failed reads. */
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {applyLoggedRecords} from './applying.js';
import type {LogReadEvent} from './events.js';
import {startFromLog} from './start.js';

/** Minimum time between the starts of two reads if the first returned nothing to apply. */
const idleReadIntervalMs = 50;
/** Delay before the next read of a log that has a gap or is truncated, or that this host cannot start from. */
const unusableReadIntervalMs = 300;
/** After a freeze, a process that cannot catch up with the log within this time serves requests with the state that it has. */
export const maxResumeWaitMs = 3000;

/** Applies the records of a read and starts the next read when it is due. */
export function acceptLogPage(state: State, page: LogReadEvent): Effect[] {
	const {log} = state;
	log.isReading = false;
	log.isReachable = true;
	log.lastContactAt = state.now;
	log.firstOffset = page.firstOffset;
	const effects = startFromLog(state, page);
	if (log.startedFrom === undefined) {
		log.nextReadAt = addMilliseconds(state.now, unusableReadIntervalMs);
		return effects;
	}

	const before = state.fleet.nextOffset;
	effects.push(...applyLoggedRecords(state, page.records), ...checkLogBounds(state, page));
	log.isInitialReadTried ||= page.nextOffset <= state.fleet.nextOffset;
	if (log.readStartedAt + maxResumeWaitMs >= log.mustCatchUpUntil && page.nextOffset <= state.fleet.nextOffset) {
		log.mustCatchUpUntil = 0 as Instant;
	}

	const isUnusable = log.hasGap || log.isTruncated;
	log.nextReadAt = addMilliseconds(isUnusable ? state.now : log.readStartedAt, isUnusable ? unusableReadIntervalMs : idleReadIntervalMs);
	if (state.fleet.nextOffset > before) {
		log.nextReadAt = state.now;
	}

	return [...effects, ...tickTail(state)];
}

/** Handles a read that failed or timed out, and reads again at once. */
export function handleReadFailure(state: State): Effect[] {
	state.log.isReading = false;
	state.log.isReachable = false;
	state.log.isInitialReadTried = true;
	state.log.nextReadAt = state.now;
	return tickTail(state);
}

/** Starts the next read when it is due. */
export function tickTail(state: State): Effect[] {
	const {log} = state;
	if (log.isReading || state.now < log.nextReadAt) {
		return [];
	}

	log.isReading = true;
	log.readStartedAt = state.now;
	log.readFrom = state.fleet.nextOffset;
	return [{type: 'log/read', from: state.fleet.nextOffset}];
}

function checkLogBounds(state: State, page: LogReadEvent): Effect[] {
	const {log, fleet} = state;
	const hadGap = log.hasGap;
	const wasTruncated = log.isTruncated;
	log.hasGap = page.firstOffset > fleet.nextOffset;
	log.isTruncated = page.nextOffset < log.readFrom;
	const fields = {nextOffset: fleet.nextOffset, logFirstOffset: page.firstOffset, logNextOffset: page.nextOffset};
	const effects: Effect[] = [];
	if (log.hasGap && !hadGap) {
		log.snapshots.nextReadAt = 0 as Instant;
		effects.push({
			type: 'line/write', level: 'error', event: 'records before the first of the log are missing here', fields,
		});
	}

	if (log.isTruncated && !wasTruncated) {
		effects.push({
			type: 'line/write', level: 'error', event: 'the log ends before what was applied here', fields,
		});
	}

	return effects;
}
