/** What happened in a run, for the verdicts. Instants in milliseconds since the epoch. */
import type {LoadOutcome} from '@rhubarblever/stand-ins';

export type Window = {readonly from: number; readonly to: number};

/** A time in which an entry host could not answer because of what the run did to it. */
export type Disturbance = Window & {readonly hostId: string; readonly address: string};

export type PlannedStop = Window & {readonly hostId: string; readonly address: string; readonly code: number | undefined};

/** A target whose leaving was said, on the host list or by itself. */
export type Leaving = Window & {readonly hostId: string; readonly how: 'listed' | 'said'};

export type UnexpectedEnd = {readonly hostId: string; readonly at: number; readonly code: number | undefined; readonly output: string};

/** A version of a contested pool that an operator was told is accepted. */
export type AcceptedChange = {readonly pool: string; readonly offset: number; readonly basedOn: number; readonly value: number};

export class Journal {
	static create(): Journal {
		return new Journal();
	}

	readonly outcomes: LoadOutcome[] = [];
	readonly disturbances: Disturbance[] = [];
	readonly plannedStops: PlannedStop[] = [];
	readonly leavings: Leaving[] = [];
	readonly unexpectedEnds: UnexpectedEnd[] = [];
	readonly changes: AcceptedChange[] = [];
	/** Allowed runs of all jobs that were sent, whatever became of them. */
	readonly allowedRuns = new Map<string, number>();
	/** Jobs that were told to be accepted. */
	readonly acceptedJobs = new Set<string>();
	/** Times in which the platform told no host anything. */
	readonly platformAway: Window[] = [];
	/** How often each thing was tried. */
	readonly counts = new Map<string, number>();
	/** What went otherwise than planned, in words. */
	readonly remarks: string[] = [];
	healedAt = 0;

	private constructor() {}

	count(what: string): void {
		this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
	}
}

/** Whether two windows share an instant. */
export function isOverlapping(a: Window, b: Window): boolean {
	return a.from <= b.to && b.from <= a.to;
}

/** An instant as the time of day, as log lines show it. */
export function formatTime(at: number): string {
	return Number.isFinite(at) ? new Date(at).toISOString().slice(11, 23) : 'the end';
}
