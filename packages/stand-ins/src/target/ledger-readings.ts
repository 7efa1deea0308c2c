/** What the ledgers of targets say of requests. */
import type {LedgerEntry, TargetLedgerReport} from './target-ledger.js';

/** How often each request was started, on all targets together; those never started are missing. */
export function countStarts(ledgers: ReadonlyArray<Pick<TargetLedgerReport, 'entries'>>): Map<string, number> {
	const starts = new Map<string, number>();
	for (const {requestId} of ledgers.flatMap(({entries}) => entries)) {
		starts.set(requestId, (starts.get(requestId) ?? 0) + 1);
	}

	return starts;
}

/** How many requests a target ran at once after each start and end. An entry that has not ended counts as a moment. */
export function listLoads(entries: readonly LedgerEntry[]): Array<{readonly at: number; readonly running: number}> {
	const edges = entries.flatMap(({startedAt, endedAt}) => [{at: startedAt, step: 1}, {at: endedAt ?? startedAt, step: -1}]);
	let running = 0;
	return edges.toSorted((a, b) => (a.at - b.at) || (a.step - b.step)).map(({at, step}) => {
		running += step;
		return {at, running};
	});
}
