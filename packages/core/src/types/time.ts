/** Instants and log offsets. The core reads no clock: each event has the instant at which it happened. */
import {z} from 'zod';

export const instantSchema = z.number().int().nonnegative().brand<'Instant'>();
/** Milliseconds since 1970-01-01T00:00:00Z. */
export type Instant = z.infer<typeof instantSchema>;

export const offsetSchema = z.number().int().nonnegative().brand<'Offset'>();
/** Position of a record in a stream of the log; the first is 0. */
export type Offset = z.infer<typeof offsetSchema>;

/** Returns the instant `milliseconds` after `from`, rounded to whole milliseconds and at least 0. */
export function addMilliseconds(from: Instant, milliseconds: number): Instant {
	return Math.max(0, Math.round(from + milliseconds)) as Instant;
}

/** Returns the offset after `offset`. */
export function getNextOffset(offset: Offset): Offset {
	return (offset + 1) as Offset;
}
