/** Messages by which entry hosts pass on records and whole fleet states. */
import {z} from 'zod';
import {loggedRecordSchema} from '../types/records.js';
import {offsetSchema} from '../types/time.js';
import {snapshotChunkSchema} from './snapshot-chunks.js';

/** Asks for the records from `from` on; `digest` and `decoders` tell the asker's history at that offset. */
export const recordsRequestSchema = z.object({
	type: z.literal('records/request'),
	from: offsetSchema,
	digest: z.string(),
	decoders: z.string(),
	/** The asker has no state, or the log has lost records that it needs. */
	isStateWanted: z.boolean(),
});

/** Records in log order; only sent where the digests agree. */
export const recordsReplySchema = z.object({
	type: z.literal('records/reply'),
	records: z.array(loggedRecordSchema),
});

/** Part of the sender's fleet state. */
export const stateChunkSchema = z.object({
	type: z.literal('state/chunk'),
	chunk: snapshotChunkSchema,
});

/** The sender applied another history up to `offset`. */
export const historyDiffersSchema = z.object({
	type: z.literal('history/differs'),
	offset: offsetSchema,
});
