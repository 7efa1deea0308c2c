/** How far a host has read a stream, and how stale its view of it is. */
import type {SteadyMs} from '@rhubarblever/core/scheduler';
import type {Moment} from './clocks.js';

/** Ages are in milliseconds; each field is undefined until it is first known. */
export type ViewStatus = {
	/** Offset at which the next read starts. */
	readonly nextOffset: number | undefined;
	/** Offset of the stream's end as last reported by the store. */
	readonly end: number | undefined;
	/** Time since the store last answered. */
	readonly answerAgeMs: number | undefined;
	/** Staleness: all records stored longer ago than this have been read. Time in which the host was suspended counts. */
	readonly completeAgeMs: number | undefined;
};

export class StreamView {
	static create(): StreamView {
		return new StreamView();
	}

	nextOffset: number | undefined;
	/** When the store last answered. */
	answeredAt: SteadyMs | undefined;
	/** All records stored before this time have been read. */
	completeAt: SteadyMs | undefined;
	/** The same time by the clock that counts suspensions. */
	private completeElapsedMs: number | undefined;
	private end: number | undefined;

	private constructor() {}

	/** Makes a view that was complete count as infinitely stale. */
	expire(): void {
		this.completeAt = this.completeAt === undefined ? undefined : Number.NEGATIVE_INFINITY;
		this.completeElapsedMs = this.completeAt;
	}

	/** Discards the position; the age of what was read stays. */
	clearPosition(): void {
		this.nextOffset = undefined;
		this.end = undefined;
	}

	/** Notes that the store has answered, whatever the outcome. */
	noteAnswer(answeredAt: SteadyMs): void {
		this.answeredAt = answeredAt;
	}

	/** Notes that the stream was read up to `nextOffset` by a request sent at `requested`. */
	noteRead(nextOffset: number, end: number, requested: Moment): void {
		this.nextOffset = nextOffset;
		this.end = Math.max(end, this.end ?? end);
		// A response that reaches the end holds at least what was stored when the request was sent. Requests may overlap.
		if (nextOffset >= end) {
			this.completeAt = Math.max(requested.at, this.completeAt ?? requested.at);
			this.completeElapsedMs = Math.max(requested.elapsedMs, this.completeElapsedMs ?? requested.elapsedMs);
		}
	}

	/** True if the last response ended before the stream's end. */
	isBehind(): boolean {
		return this.nextOffset !== undefined && this.end !== undefined && this.nextOffset < this.end;
	}

	hasAnswer(): boolean {
		return this.answeredAt !== undefined;
	}

	describe(now: Moment): ViewStatus {
		return {
			nextOffset: this.nextOffset, end: this.end, answerAgeMs: computeAge(now.at, this.answeredAt), completeAgeMs: computeAge(now.elapsedMs, this.completeElapsedMs),
		};
	}
}

/** True if the staleness of the view is below `ageMs`. */
export function isCompleteWithin({completeAgeMs}: ViewStatus, ageMs: number): boolean {
	return completeAgeMs !== undefined && completeAgeMs < ageMs;
}

function computeAge(now: number, then: number | undefined): number | undefined {
	return then === undefined ? undefined : Math.round(now - then);
}
