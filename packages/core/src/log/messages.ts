/** Messages by which entry hosts send each other records and whole fleet states. */
import {z} from 'zod';
import {loggedRecordSchema} from '../types/records.js';
import {offsetSchema} from '../types/time.js';
import {snapshotChunkSchema} from './snapshot-chunks.js';

/** Requests the records from offset `from`. `digest` and `decoders` describe the requesting host's history before that offset. */
export const recordsRequestSchema = z.object({
	type: z.literal('records/request'),
	from: offsetSchema,
	digest: z.string(),
	decoders: z.string(),
	/** The requesting host has not completed its initial synchronization. */
	isStateWanted: z.boolean(),
});

/** Records in log order; sent only if the digests of both hosts do not differ. */
export const recordsReplySchema = z.object({
	type: z.literal('records/reply'),
	records: z.array(loggedRecordSchema),
});

/** One chunk of the sender's fleet state. */
export const stateChunkSchema = z.object({
	type: z.literal('state/chunk'),
	chunk: snapshotChunkSchema,
});

/** The sender's history up to `offset` differs from the receiver's. */
export const historyDiffersSchema = z.object({
	type: z.literal('history/differs'),
	offset: offsetSchema,
});
