/** Reads snapshots from their stream and writes them there well before the log's records expire. */
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
import {takeFleetState} from './applying.js';
import type {SnapshotReadEvent} from './events.js';
import {acceptSnapshotChunk, createSnapshotChunks, snapshotChunkSchema} from './snapshot-chunks.js';
import {computeSnapshotDueAt} from './snapshot-due.js';

const snapshotSchemaName = 'snapshot';
/** Each host waits this much longer than the one ranked before it, to save work; two writers are harmless. */
const rankDelayMs = 2000;
const readRetryMs = 500;
const gapReadMs = 1000;
const writeRetryMs = 5000;

/** Takes in chunks; at the end of the stream the highest whole state is taken over. */
export function acceptSnapshotPage(state: State, page: SnapshotReadEvent): Effect[] {
	const work = state.log.snapshots;
	work.isReading = false;
	for (const logged of page.records) {
		acceptRecord(state, logged);
		work.nextChunk = Math.max(work.nextChunk, getNextOffset(logged.offset)) as Offset;
	}

	if (page.records.length > 0 && work.nextChunk < page.nextOffset) {
		work.readAt = state.now;
		return tickSnapshots(state);
	}

	work.isRead = true;
	work.readAt = addMilliseconds(state.now, gapReadMs);
	const {best} = work;
	work.best = undefined;
	return best ? takeFleetState(state, best, 'snapshot') : [];
}

/** Tries again soon. */
export function noteSnapshotReadFailure(state: State): Effect[] {
	state.log.snapshots.isReading = false;
	state.log.snapshots.readAt = addMilliseconds(state.now, readRetryMs);
	return [];
}

/** Notes the end of this host's own write. */
export function noteSnapshotWritten(state: State, nextOffset: Offset | undefined): Effect[] {
	state.log.snapshots.isWriting = false;
	if (nextOffset === undefined) {
		state.log.snapshots.retryAt = addMilliseconds(state.now, writeRetryMs);
		return [];
	}

	noteKnownSnapshot(state, nextOffset, state.now);
	return [{
		type: 'line/write', level: 'info', event: 'snapshot written', fields: {nextOffset},
	}];
}

/** Notes a snapshot in the log, whoever wrote it. */
export function noteKnownSnapshot(state: State, nextOffset: Offset, writtenAt: Instant): void {
	const work = state.log.snapshots;
	const isNews = nextOffset > work.known.nextOffset || (nextOffset === work.known.nextOffset && writtenAt > work.known.writtenAt);
	if (!isNews) {
		return;
	}

	work.known = {nextOffset, writtenAt: Math.min(writtenAt, state.now) as Instant};
	work.changedAt = nextOffset < state.fleet.nextOffset ? state.now : undefined;
}

/** Reads the stream at the start and while records are missing here; writes a snapshot when it is due. */
export function tickSnapshots(state: State): Effect[] {
	const work = state.log.snapshots;
	const mustRead = !work.isRead || state.log.isGapped;
	if (mustRead && !work.isReading && state.now >= work.readAt) {
		work.isReading = true;
		return [{type: 'snapshot/read', from: work.nextChunk}];
	}

	return isWriteDue(state) ? writeSnapshot(state) : [];
}

function acceptRecord(state: State, logged: LoggedRecord): void {
	const work = state.log.snapshots;
	const chunk = logged.record.schema === snapshotSchemaName ? snapshotChunkSchema.safeParse(logged.record.body) : undefined;
	const fleet = chunk?.success ? acceptSnapshotChunk(work.assembly, chunk.data) : undefined;
	if (!fleet) {
		return;
	}

	noteKnownSnapshot(state, fleet.nextOffset, logged.at);
	if (fleet.nextOffset > (work.best?.nextOffset ?? -1)) {
		work.best = fleet;
	}
}

function isWriteDue(state: State): boolean {
	const {fleet, log} = state;
	const work = log.snapshots;
	const mayWrite = log.startedFrom !== undefined
		&& work.isRead
		&& !work.isWriting
		&& !log.isGapped
		&& !log.isShortened
		&& fleet.nextOffset > 0
		&& fleet.nextOffset >= work.known.nextOffset
		&& !isLogUnavailable(state);
	return mayWrite && addMilliseconds(computeSnapshotDueAt(state), rankDelayMs * computeRank(state)) <= state.now;
}

/** How many live hosts come before this one for the next snapshot. */
function computeRank(state: State): number {
	const computeWeight = (hostId: string) => murmurhash.v3(`${hostId} ${state.log.snapshots.known.nextOffset}`);
	const own = computeWeight(state.settings.self.hostId);
	return listLivePeers(state).filter(peer => computeWeight(peer.hostId) > own).length;
}

function writeSnapshot(state: State): Effect[] {
	const work = state.log.snapshots;
	work.isWriting = true;
	work.writtenCount += 1;
	const snapshotId = `${state.settings.incarnation}-${work.writtenCount}`;
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
