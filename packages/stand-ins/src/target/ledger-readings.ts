/** Evaluates the ledgers of targets. */
import type {LedgerEntry, TargetLedgerReport} from './target-ledger.js';

/** Starts per request id, over all targets; requests that never started are absent. */
export function countStarts(ledgers: ReadonlyArray<Pick<TargetLedgerReport, 'entries'>>): Map<string, number> {
	const starts = new Map<string, number>();
	for (const {requestId} of ledgers.flatMap(({entries}) => entries)) {
		starts.set(requestId, (starts.get(requestId) ?? 0) + 1);
	}

	return starts;
}

/** Concurrent requests of a target after each start and end. An entry without an end counts as ended when it started. */
export function listLoads(entries: readonly LedgerEntry[]): Array<{readonly at: number; readonly running: number}> {
	const edges = entries.flatMap(({startedAt, endedAt}) => [{at: startedAt, step: 1}, {at: endedAt ?? startedAt, step: -1}]);
	let running = 0;
	return edges.toSorted((a, b) => (a.at - b.at) || (a.step - b.step)).map(({at, step}) => {
		running += step;
		return {at, running};
	});
}
