/** When the next snapshot is due: by how much has changed, and well before the log lets go of what only it holds. */
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';

/** How long the log keeps records where the settings do not say. */
export const defaultLogRetentionMs = 600_000;
/** A snapshot is written again after this share of the retention: it expires too, and writes may fail for a while. */
const retentionShare = 0.25;
/** The first snapshot of all comes this long after the first record. */
const firstDelayMs = 10_000;
/** Fewer records than this do not make a snapshot due before its time. */
const leastDueRecords = 1000;
const leastIntervalMs = 3000;

/** When a snapshot is due, for the host that is first in rank. */
export function computeSnapshotDueAt(state: State): Instant {
	const {known, changedAt, retryAt} = state.log.snapshots;
	const refreshAt = known.nextOffset === 0 ? Number.POSITIVE_INFINITY : known.writtenAt + computeRefreshMs(state);
	const changeAt = changedAt === undefined || state.fleet.nextOffset === known.nextOffset
		? Number.POSITIVE_INFINITY
		: computeChangeAt(state, changedAt);
	return Math.max(retryAt, Math.min(refreshAt, changeAt)) as Instant;
}

function computeChangeAt(state: State, changedAt: Instant): number {
	const {known} = state.log.snapshots;
	if (hasLargeChange(state) || isLeavingLog(state)) {
		return Math.max(changedAt, known.writtenAt + leastIntervalMs);
	}

	return changedAt + (known.nextOffset === 0 ? firstDelayMs : computeRefreshMs(state));
}

function computeRefreshMs(state: State): number {
	return (state.settings.logRetentionMs ?? defaultLogRetentionMs) * retentionShare;
}

/** Whether as many records came as the snapshot has entries: then writing it costs no more than the log itself. */
function hasLargeChange({fleet, log}: State): boolean {
	const entryCount = fleet.jobs.jobs.size + fleet.hosts.size;
	return fleet.nextOffset - log.snapshots.known.nextOffset >= Math.max(leastDueRecords, entryCount);
}

/** Whether the snapshot stands in the older half of what the log keeps, so that a shorter retention than the settings say does no harm. */
function isLeavingLog({fleet, log}: State): boolean {
	return log.firstOffset > 0 && log.snapshots.known.nextOffset < (log.firstOffset + fleet.nextOffset) / 2;
}
