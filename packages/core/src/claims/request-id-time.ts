/** The instant at which a time-ordered request id was created. */
import type {RequestId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

const uuidVersion7 = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/i;
const hexRadix = 16;

/** The instant in a UUID of version 7; undefined for any other id. */
export function readCreationTime(requestId: RequestId): Instant | undefined {
	return uuidVersion7.test(requestId)
		? Number.parseInt(requestId.slice(0, 8) + requestId.slice(9, 13), hexRadix) as Instant
		: undefined;
}
