/** Starts of requests on targets. */
import type {Evidence} from './verdict.js';

export type Start = {readonly requestId: string; readonly attemptId: string; readonly startedAt: number; readonly hostId: string};

/** Lists the starts in the ledgers of all targets. */
export function listStarts({targetLedgers}: Evidence): Start[] {
	return targetLedgers.flatMap(({hostId, entries}) => entries.map(({requestId, attemptId, startedAt}) => ({
		requestId, attemptId, startedAt, hostId,
	})));
}
