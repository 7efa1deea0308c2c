/** Reads snapshots from the snapshot stream, and writes new ones well before the log's records expire. */
import murmurhash from 'murmurhash';
import {listLivePeers} from '../membership/liveness.js';
import type {Effect} from '../types/effects.js';
import {recordIdSchema} from '../types/ids.js';
import type {LoggedRecord, LogRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {
	addMilliseconds, getNextOffset, type Instant, type Offset,
} from '../types/time.js';
import {isLogUnavailable} from './appends.js';
import {replaceFleetState} from './applying.js';
import type {SnapshotReadEvent} from './events.js';
import {acceptSnapshotChunk, createSnapshotChunks, snapshotChunkSchema} from './snapshot-chunks.js';
import {computeSnapshotDueAt} from './snapshot-due.js';

const snapshotSchemaName = 'snapshot';
/** Each host waits this much longer than the host ranked before it, so that usually only one writes a snapshot; two writers are harmless. */
const rankDelayMs = 2000;
const readRetryMs = 500;
const gapReadIntervalMs = 1000;
const writeRetryMs = 5000;

/** Handles chunks from the snapshot stream. At the end of the stream, the latest complete snapshot replaces the fleet state if it is ahead. */
export function acceptSnapshotPage(state: State, page: SnapshotReadEvent): Effect[] {
	const snapshotState = state.log.snapshots;
	snapshotState.isReading = false;
	for (const logged of page.records) {
		acceptRecord(state, logged);
		snapshotState.nextChunkOffset = Math.max(snapshotState.nextChunkOffset, getNextOffset(logged.offset)) as Offset;
	}

	if (page.records.length > 0 && snapshotState.nextChunkOffset < page.nextOffset) {
		snapshotState.nextReadAt = state.now;
		return tickSnapshots(state);
	}

	snapshotState.isRead = true;
	snapshotState.nextReadAt = addMilliseconds(state.now, gapReadIntervalMs);
	const {latestRead} = snapshotState;
	snapshotState.latestRead = undefined;
	return latestRead ? replaceFleetState(state, latestRead, 'snapshot') : [];
}

/** Schedules the retry of a failed read. */
export function handleSnapshotReadFailure(state: State): Effect[] {
	state.log.snapshots.isReading = false;
	state.log.snapshots.nextReadAt = addMilliseconds(state.now, readRetryMs);
	return [];
}

/** Handles the end of this host's own write; `nextOffset` is undefined if it failed. */
export function handleSnapshotWritten(state: State, nextOffset: Offset | undefined): Effect[] {
	state.log.snapshots.isWriting = false;
	if (nextOffset === undefined) {
		state.log.snapshots.retryAt = addMilliseconds(state.now, writeRetryMs);
		return [];
	}

	updateKnownSnapshot(state, nextOffset, state.now);
	return [{
		type: 'line/write', level: 'info', event: 'snapshot written', fields: {nextOffset},
	}];
}

/** Updates the latest known snapshot, whichever host wrote it. */
export function updateKnownSnapshot(state: State, nextOffset: Offset, writtenAt: Instant): void {
	const snapshotState = state.log.snapshots;
	const isNewer = nextOffset > snapshotState.latestKnown.nextOffset || (nextOffset === snapshotState.latestKnown.nextOffset && writtenAt > snapshotState.latestKnown.writtenAt);
	if (!isNewer) {
		return;
	}

	snapshotState.latestKnown = {nextOffset, writtenAt: Math.min(writtenAt, state.now) as Instant};
	snapshotState.changedAt = nextOffset < state.fleet.nextOffset ? state.now : undefined;
}

/** Reads the snapshot stream at the start and while this host lacks records that the log no longer keeps; writes a snapshot when one is due. */
export function tickSnapshots(state: State): Effect[] {
	const snapshotState = state.log.snapshots;
	const mustRead = !snapshotState.isRead || state.log.hasGap;
	if (mustRead && !snapshotState.isReading && state.now >= snapshotState.nextReadAt) {
		snapshotState.isReading = true;
		return [{type: 'snapshot/read', from: snapshotState.nextChunkOffset}];
	}

	return isWriteDue(state) ? writeSnapshot(state) : [];
}

function acceptRecord(state: State, logged: LoggedRecord): void {
	const snapshotState = state.log.snapshots;
	const chunk = logged.record.schema === snapshotSchemaName ? snapshotChunkSchema.safeParse(logged.record.body) : undefined;
	const fleet = chunk?.success ? acceptSnapshotChunk(snapshotState.assembly, chunk.data) : undefined;
	if (!fleet) {
		return;
	}

	updateKnownSnapshot(state, fleet.nextOffset, logged.at);
	if (fleet.nextOffset > (snapshotState.latestRead?.nextOffset ?? -1)) {
		snapshotState.latestRead = fleet;
	}
}

function isWriteDue(state: State): boolean {
	const {fleet, log} = state;
	const snapshotState = log.snapshots;
	const mayWrite = log.startedFrom !== undefined
		&& snapshotState.isRead
		&& !snapshotState.isWriting
		&& !log.hasGap
		&& !log.isTruncated
		&& fleet.nextOffset > 0
		&& fleet.nextOffset >= snapshotState.latestKnown.nextOffset
		&& !isLogUnavailable(state);
	return mayWrite && addMilliseconds(computeSnapshotDueAt(state), rankDelayMs * computeRank(state)) <= state.now;
}

/** This host's rank among the live hosts for writing the next snapshot; 0 is the first. */
function computeRank(state: State): number {
	const computeWeight = (hostId: string) => murmurhash.v3(`${hostId} ${state.log.snapshots.latestKnown.nextOffset}`);
	const own = computeWeight(state.settings.self.hostId);
	return listLivePeers(state).filter(peer => computeWeight(peer.hostId) > own).length;
}

function writeSnapshot(state: State): Effect[] {
	const snapshotState = state.log.snapshots;
	snapshotState.isWriting = true;
	snapshotState.writtenCount += 1;
	const snapshotId = `${state.settings.incarnation}-${snapshotState.writtenCount}`;
	const chunks = createSnapshotChunks(state.fleet, snapshotId);
	return [{
		type: 'snapshot/write', nextOffset: state.fleet.nextOffset, records: chunks.map<LogRecord>(chunk => ({
			recordId: recordIdSchema.parse(`snapshot-${snapshotId}-${chunk.index}`),
			schema: snapshotSchemaName,
			version: 1,
			body: chunk,
		})),
	}];
}
