/** Records what happened in a run, for the verdicts. Instants are in milliseconds since the epoch. */
import type {LoadOutcome} from '@rhubarblever/stand-ins';

export type TimeRange = {readonly from: number; readonly to: number};

/** A period in which an entry host could not answer because of an injected fault. */
export type Unavailability = TimeRange & {readonly hostId: string; readonly address: string};

export type PlannedStop = TimeRange & {readonly hostId: string; readonly address: string; readonly code: number | undefined};

/** A target that was announced as leaving, by the host list (`listed`) or by its own answers (`said`). */
export type Leaving = TimeRange & {readonly hostId: string; readonly how: 'listed' | 'said'};

export type UnexpectedExit = {readonly hostId: string; readonly at: number; readonly code: number | undefined; readonly output: string};

/** A version of a contested pool whose acceptance was confirmed to the operator. */
export type AcceptedChange = {readonly pool: string; readonly offset: number; readonly basedOn: number; readonly value: number};

export class Journal {
	static create(): Journal {
		return new Journal();
	}

	readonly outcomes: LoadOutcome[] = [];
	readonly unavailabilities: Unavailability[] = [];
	readonly plannedStops: PlannedStop[] = [];
	readonly leavings: Leaving[] = [];
	readonly unexpectedExits: UnexpectedExit[] = [];
	readonly changes: AcceptedChange[] = [];
	/** Allowed runs of all submitted jobs, whether accepted or not. */
	readonly allowedRuns = new Map<string, number>();
	/** Jobs whose acceptance was confirmed to the operator. */
	readonly acceptedJobs = new Set<string>();
	/** Periods in which hosts could not rely on news from the platform. */
	readonly platformUnavailabilities: TimeRange[] = [];
	/** How often each fault and operation was tried. */
	readonly counts = new Map<string, number>();
	/** Descriptions of what did not go as planned. */
	readonly remarks: string[] = [];
	healedAt = 0;

	private constructor() {}

	count(what: string): void {
		this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
	}
}

/** Whether two time ranges overlap. */
export function isOverlapping(a: TimeRange, b: TimeRange): boolean {
	return a.from <= b.to && b.from <= a.to;
}

/** Formats an instant as time of day, as in log lines. */
export function formatTime(at: number): string {
	return Number.isFinite(at) ? new Date(at).toISOString().slice(11, 23) : 'the end';
}
