/** What really happened on a target. Tests judge promises by it. */

/** One start of a request. Instants in milliseconds since the epoch. */
export type LedgerEntry = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly startedAt: number;
	/** Undefined while it runs, or if a crash ended it. */
	endedAt: number | undefined;
};

export type TargetLedgerReport = {
	readonly entries: readonly LedgerEntry[];
	/** Requests that came while all slots were taken. */
	readonly overfilledSlots: number;
	/** Connections beyond the limit. */
	readonly overfilledConnections: number;
	readonly refusals: number;
	/** The most requests that ran or waited at once. */
	readonly peakRequests: number;
	readonly peakConnections: number;
	/** When the target first said that it is leaving. */
	readonly leavingAt: number | undefined;
	readonly startsAfterLeaving: number;
	/** Request ids that were started more than once on this target. */
	readonly idsRunTwice: readonly string[];
};

export class TargetLedger {
	static create(): TargetLedger {
		return new TargetLedger();
	}

	overfilledSlots = 0;
	overfilledConnections = 0;
	refusals = 0;
	leavingAt: number | undefined;
	private readonly entries: LedgerEntry[] = [];
	private peakRequests = 0;
	private peakConnections = 0;

	private constructor() {}

	noteStart(requestId: string, attemptId: string): LedgerEntry {
		const entry: LedgerEntry = {
			requestId, attemptId, startedAt: Date.now(), endedAt: undefined,
		};
		this.entries.push(entry);
		return entry;
	}

	/** Notes how many requests run or wait. */
	noteRequests(count: number): void {
		this.peakRequests = Math.max(this.peakRequests, count);
	}

	noteConnections(count: number, limit: number): void {
		this.peakConnections = Math.max(this.peakConnections, count);
		this.overfilledConnections += count > limit ? 1 : 0;
	}

	/** The latest start of another attempt. */
	findOther(attemptId: string): LedgerEntry | undefined {
		return this.entries.findLast(entry => entry.attemptId !== attemptId);
	}

	report(): TargetLedgerReport {
		const {leavingAt = Number.POSITIVE_INFINITY} = this;
		const ids = this.entries.map(entry => entry.requestId);
		const seen = new Set<string>();
		const twice = new Set(ids.filter(id => seen.has(id) || !seen.add(id)));
		return {
			entries: this.entries,
			overfilledSlots: this.overfilledSlots,
			overfilledConnections: this.overfilledConnections,
			refusals: this.refusals,
			peakRequests: this.peakRequests,
			peakConnections: this.peakConnections,
			leavingAt: this.leavingAt,
			startsAfterLeaving: this.entries.filter(entry => entry.startedAt > leavingAt).length,
			idsRunTwice: [...twice],
		};
	}
}
