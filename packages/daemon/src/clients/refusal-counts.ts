/** Counts the clients that were refused or whose connections were closed, and logs the counts once a second, however many they are. */

/** Why a connection was closed or a request was refused. */
export const refusalReasons = [
	'idle', 'header-timeout', 'body-timeout', 'answer-not-read', 'not-closed', 'header-too-large', 'body-too-large', 'malformed', 'too-many-ahead', 'evicted', 'too-many-connections', 'over-budget',
] as const;
export type RefusalReason = typeof refusalReasons[number];

/** None of the counts is 0. */
export type RefusalCountsByReason = Readonly<Partial<Record<RefusalReason, number>>>;

/** Takes the counts of the second that has just passed. */
export type RefusalSink = {readonly report: (server: string, counts: RefusalCountsByReason) => void};

/** Connections that are not used, or that their clients do not close, are no fault of anyone. */
const ordinaryReasons: ReadonlySet<string> = new Set<RefusalReason>(['idle', 'not-closed']);

/** The counts of limits that clients have met, which operators should hear of. */
export function selectFaults(counts: RefusalCountsByReason): RefusalCountsByReason {
	return Object.fromEntries(Object.entries(counts).filter(([reason]) => !ordinaryReasons.has(reason)));
}

const reportIntervalMs = 1000;

export class RefusalCounts {
	static create(server: string, sink: RefusalSink): RefusalCounts {
		return new RefusalCounts(server, sink);
	}

	private counts: Partial<Record<RefusalReason, number>> = {};
	private timer: NodeJS.Timeout | undefined;

	private constructor(private readonly server: string, private readonly sink: RefusalSink) {}

	add(reason: RefusalReason): void {
		this.counts[reason] = (this.counts[reason] ?? 0) + 1;
		this.timer ??= setTimeout(() => {
			this.flush();
		}, reportIntervalMs).unref();
	}

	/** Reports the counts so far. */
	flush(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		const {counts} = this;
		this.counts = {};
		if (Object.keys(counts).length > 0) {
			this.sink.report(this.server, counts);
		}
	}
}
