/** Handlers of the log's events: reads, appends and snapshots. */
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {finishFlush, handleAppendEnd, tickAppends} from './appends.js';
import {checkAppliedOffset} from './applying.js';
import {tickCatchUp} from './catch-up.js';
import {tickStart} from './start.js';
import type {LogEvent} from './events.js';
import {
	acceptSnapshotPage, handleSnapshotReadFailure, handleSnapshotWritten, tickSnapshots,
} from './snapshots.js';
import {
	acceptLogPage, handleReadFailure, tickTail, maxResumeWaitMs,
} from './tail.js';

export {queueRecord} from './appends.js';

/** A process whose ticks are this far apart counts as having been frozen. */
const frozenThresholdMs = 1500;

export const logHandlers: HandlerTable<LogEvent['type']> = {
	'log/read': acceptLogPage,
	'log/read-failed': handleReadFailure,
	'log/appended': (state, event) => handleAppendEnd(state, event.recordIds, false),
	'log/append-failed': (state, event) => handleAppendEnd(state, event.recordIds, true),
	'log/flush-due': finishFlush,
	'snapshot/read': acceptSnapshotPage,
	'snapshot/read-failed': handleSnapshotReadFailure,
	'snapshot/written': (state, event) => handleSnapshotWritten(state, event.nextOffset),
	'snapshot/write-failed': state => handleSnapshotWritten(state, undefined),
};

/** Runs what is due: appends, reads, requests to peers and snapshots. */
export function tickLog(state: State): Effect[] {
	return [
		...checkForFreeze(state),
		...tickAppends(state),
		...tickTail(state),
		...tickCatchUp(state),
		...tickSnapshots(state),
		...tickStart(state),
		...checkAppliedOffset(state),
	];
}

function checkForFreeze(state: State): Effect[] {
	const {log} = state;
	const last = log.lastTickAt ?? state.now;
	log.lastTickAt = state.now;
	const pauseMs = state.now - last;
	if (pauseMs < frozenThresholdMs) {
		return [];
	}

	log.mustCatchUpUntil = addMilliseconds(state.now, maxResumeWaitMs);
	return [{
		type: 'line/write', level: 'warn', event: 'the process was frozen', fields: {pauseMs},
	}];
}
