/** Log of a target: request starts and ends, refusals and peak load. Tests check guarantees of the system against it. */

/** One start of a request. Instants in milliseconds since the epoch. */
export type LedgerEntry = {
	readonly requestId: string;
	readonly attemptId: string;
	readonly startedAt: number;
	/** Undefined while the request runs, or if a crash ended it. */
	endedAt: number | undefined;
};

export type TargetLedgerReport = {
	readonly entries: readonly LedgerEntry[];
	/** Requests that arrived while all slots were taken. */
	readonly overfilledSlots: number;
	/** Connections that exceeded the limit. */
	readonly overfilledConnections: number;
	readonly refusals: number;
	/** Maximum number of requests that ran or waited concurrently. */
	readonly peakRequests: number;
	readonly peakConnections: number;
	/** When the target was first set to leaving, in milliseconds since the epoch. */
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

	/** Records the current number of running and waiting requests. */
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
