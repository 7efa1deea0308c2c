/** When the next snapshot is due: by the number of new records, and well before the log's retention removes records that no snapshot covers. */
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';

/** How long the log keeps records if the settings do not give `logRetentionMs`. */
export const defaultLogRetentionMs = 600_000;
/** A snapshot is renewed after this share of the retention, since the snapshot stream's records expire too and writes may fail for a while. */
const retentionShare = 0.25;
/** The first snapshot ever is written this long after the first record. */
const firstDelayMs = 10_000;
/** Fewer new records than this do not make a snapshot due early. */
const minDueRecords = 1000;
const minIntervalMs = 3000;

/** When a snapshot is due for the host of the first rank. */
export function computeSnapshotDueAt(state: State): Instant {
	const {latestKnown, changedAt, retryAt} = state.log.snapshots;
	const refreshAt = latestKnown.nextOffset === 0 ? Number.POSITIVE_INFINITY : latestKnown.writtenAt + computeRefreshMs(state);
	const changeAt = changedAt === undefined || state.fleet.nextOffset === latestKnown.nextOffset
		? Number.POSITIVE_INFINITY
		: computeChangeAt(state, changedAt);
	return Math.max(retryAt, Math.min(refreshAt, changeAt)) as Instant;
}

function computeChangeAt(state: State, changedAt: Instant): number {
	const {latestKnown} = state.log.snapshots;
	if (hasLargeChange(state) || isSnapshotNearExpiry(state)) {
		return Math.max(changedAt, latestKnown.writtenAt + minIntervalMs);
	}

	return changedAt + (latestKnown.nextOffset === 0 ? firstDelayMs : computeRefreshMs(state));
}

function computeRefreshMs(state: State): number {
	return (state.settings.logRetentionMs ?? defaultLogRetentionMs) * retentionShare;
}

/** Whether there are as many new records as the snapshot has entries, so that writing it costs no more than those records did. */
function hasLargeChange({fleet, log}: State): boolean {
	const entryCount = fleet.jobs.jobs.size + fleet.hosts.size;
	return fleet.nextOffset - log.snapshots.latestKnown.nextOffset >= Math.max(minDueRecords, entryCount);
}

/** Whether the snapshot's offset is in the older half of the offsets that the log keeps. Protects against a retention shorter than the settings say. */
function isSnapshotNearExpiry({fleet, log}: State): boolean {
	return log.firstOffset > 0 && log.snapshots.latestKnown.nextOffset < (log.firstOffset + fleet.nextOffset) / 2;
}
