/** The common envelope of all records in the platform's log. Their bodies are decoded by `fleet/decoders.ts`. */
import {z} from 'zod';
import {recordIdSchema} from './ids.js';
import {instantSchema, offsetSchema} from './time.js';

/** A record as a writer appends it. `basedOn` is the offset of the version that it changes; the record is void if that version is no longer current. */
export const logRecordSchema = z.object({
	recordId: recordIdSchema,
	schema: z.string().min(1).max(64),
	version: z.number().int().positive(),
	basedOn: offsetSchema.optional(),
	body: z.unknown(),
});
export type LogRecord = z.infer<typeof logRecordSchema>;

/** A record with its offset in the log. `at` is the time of the append by the platform's clock. */
export const loggedRecordSchema = z.object({
	offset: offsetSchema,
	at: instantSchema,
	record: logRecordSchema,
});
export type LoggedRecord = z.infer<typeof loggedRecordSchema>;
