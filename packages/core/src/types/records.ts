/** Records on the platform's log: the envelope that all share. Bodies are decoded by `fleet/decoders.ts`. */
import {z} from 'zod';
import {recordIdSchema} from './ids.js';
import {instantSchema, offsetSchema} from './time.js';

/** A record as a writer appends it. `basedOn` is the offset of the version it changes; a stale one makes it void. */
export const logRecordSchema = z.object({
	recordId: recordIdSchema,
	schema: z.string().min(1).max(64),
	version: z.number().int().positive(),
	basedOn: offsetSchema.optional(),
	body: z.unknown(),
});
export type LogRecord = z.infer<typeof logRecordSchema>;

/** A record at its place in the log. `at` is the platform's clock at the append. */
export const loggedRecordSchema = z.object({
	offset: offsetSchema,
	at: instantSchema,
	record: logRecordSchema,
});
export type LoggedRecord = z.infer<typeof loggedRecordSchema>;
