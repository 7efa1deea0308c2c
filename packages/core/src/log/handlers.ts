/** Handlers of the log's events: the tail, appends, and snapshots. */
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {finishFlush, noteAppendEnd, tickAppends} from './appends.js';
import {judgeAppliedOffset} from './applying.js';
import {tickCatchUp} from './catch-up.js';
import {tickStart} from './start.js';
import type {LogEvent} from './events.js';
import {
	acceptSnapshotPage, noteSnapshotReadFailure, noteSnapshotWritten, tickSnapshots,
} from './snapshots.js';
import {
	acceptLogPage, noteReadFailure, tickTail, wakeWaitMs,
} from './tail.js';

export {queueRecord} from './appends.js';

/** A process that did not tick for this long was frozen. */
const frozenMs = 1500;

export const logHandlers: HandlerTable<LogEvent['type']> = {
	'log/read': acceptLogPage,
	'log/read-failed': noteReadFailure,
	'log/appended': (state, event) => noteAppendEnd(state, event.recordIds, false),
	'log/append-failed': (state, event) => noteAppendEnd(state, event.recordIds, true),
	'log/flush-due': finishFlush,
	'snapshot/read': acceptSnapshotPage,
	'snapshot/read-failed': noteSnapshotReadFailure,
	'snapshot/written': (state, event) => noteSnapshotWritten(state, event.nextOffset),
	'snapshot/write-failed': state => noteSnapshotWritten(state, undefined),
};

/** Does what is due: appends, reads, questions to peers, snapshots. */
export function tickLog(state: State): Effect[] {
	return [
		...noteTick(state),
		...tickAppends(state),
		...tickTail(state),
		...tickCatchUp(state),
		...tickSnapshots(state),
		...tickStart(state),
		...judgeAppliedOffset(state),
	];
}

function noteTick(state: State): Effect[] {
	const {log} = state;
	const last = log.lastTickAt ?? state.now;
	log.lastTickAt = state.now;
	const pauseMs = state.now - last;
	if (pauseMs < frozenMs) {
		return [];
	}

	log.mustCatchUpUntil = addMilliseconds(state.now, wakeWaitMs);
	return [{
		type: 'line/write', level: 'warn', event: 'the process was frozen', fields: {pauseMs},
	}];
}
