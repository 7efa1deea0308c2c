/** Splits a fleet state into chunks that fit a record or a message, and reassembles them. */
import {z} from 'zod';
import {computeChecksum} from '../fleet/digest.js';
import {decodeFleetState, encodeFleetState} from '../fleet/state-codec.js';
import type {FleetState} from '../fleet/state.js';
import {offsetSchema} from '../types/time.js';

/** Characters in one chunk; well under 200 KB when escaped as JSON. */
const chunkLength = 60_000;
const maxAssemblies = 4;

/** One chunk of a fleet state to which all records before `nextOffset` were applied. */
export const snapshotChunkSchema = z.object({
	snapshotId: z.string().max(256),
	nextOffset: offsetSchema,
	digest: z.string().max(64),
	index: z.number().int().nonnegative(),
	count: z.number().int().positive().max(10_000),
	/** SHA-256 of the text of all chunks together. */
	checksum: z.string().max(64),
	text: z.string().max(chunkLength),
});
export type SnapshotChunk = z.infer<typeof snapshotChunkSchema>;

/** Chunks of incomplete snapshots, by snapshot id and then by index. */
export type SnapshotAssembly = Map<string, Map<number, SnapshotChunk>>;

/** Encodes a fleet state as chunks, in order. */
export function createSnapshotChunks(fleet: FleetState, snapshotId: string): SnapshotChunk[] {
	const text = encodeFleetState(fleet);
	const checksum = computeChecksum(text);
	const count = Math.ceil(text.length / chunkLength);
	return Array.from({length: count}, (_, index) => ({
		snapshotId,
		nextOffset: fleet.nextOffset,
		digest: fleet.digest,
		index,
		count,
		checksum,
		text: text.slice(index * chunkLength, (index + 1) * chunkLength),
	}));
}

/** Adds a chunk. Returns the fleet state if this completes it and its checksum, offset and digest match, else undefined. */
export function acceptSnapshotChunk(assembly: SnapshotAssembly, chunk: SnapshotChunk): FleetState | undefined {
	const parts = assembly.get(chunk.snapshotId) ?? new Map<number, SnapshotChunk>();
	assembly.set(chunk.snapshotId, parts);
	parts.set(chunk.index, chunk);
	if (parts.size < chunk.count) {
		removeOldest(assembly);
		return undefined;
	}

	assembly.delete(chunk.snapshotId);
	return mergeChunks([...parts.values()].toSorted((left, right) => left.index - right.index), chunk);
}

function mergeChunks(parts: readonly SnapshotChunk[], head: SnapshotChunk): FleetState | undefined {
	const text = parts.map(part => part.text).join('');
	if (computeChecksum(text) !== head.checksum) {
		return undefined;
	}

	const fleet = decodeFleetState(text).unwrapOr(undefined);
	const isMatching = fleet?.nextOffset === head.nextOffset && fleet.digest === head.digest;
	return isMatching ? fleet : undefined;
}

function removeOldest(assembly: SnapshotAssembly): void {
	const [oldest] = assembly.keys();
	if (assembly.size > maxAssemblies && oldest !== undefined) {
		assembly.delete(oldest);
	}
}
