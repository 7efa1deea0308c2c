/** How far a host has read a stream, and how stale its view of it is. */
import type {SteadyMs} from '@rhubarblever/core/scheduler';

/** Ages are in milliseconds; each field is undefined until it is first known. */
export type ViewStatus = {
	/** Offset at which the next read starts. */
	readonly nextOffset: number | undefined;
	/** Offset of the stream's end as last reported by the store. */
	readonly end: number | undefined;
	/** Time since the store last answered. */
	readonly answerAgeMs: number | undefined;
	/** Staleness: all records stored longer ago than this have been read. */
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
	private end: number | undefined;

	private constructor() {}

	/** Makes a view that was complete count as infinitely stale. */
	expire(): void {
		this.completeAt = this.completeAt === undefined ? undefined : Number.NEGATIVE_INFINITY;
	}

	/** Notes that the store has answered, whatever the outcome. */
	noteAnswer(answeredAt: SteadyMs): void {
		this.answeredAt = answeredAt;
	}

	/** Notes that the stream was read up to `nextOffset` by a request sent at `requestedAt`. */
	noteRead(nextOffset: number, end: number, requestedAt: SteadyMs): void {
		this.nextOffset = nextOffset;
		this.end = Math.max(end, this.end ?? end);
		// A response that reaches the end holds at least what was stored when the request was sent. Requests may overlap.
		this.completeAt = nextOffset >= end ? Math.max(requestedAt, this.completeAt ?? requestedAt) : this.completeAt;
	}

	/** True if the last response ended before the stream's end. */
	isBehind(): boolean {
		return this.nextOffset !== undefined && this.end !== undefined && this.nextOffset < this.end;
	}

	hasAnswer(): boolean {
		return this.answeredAt !== undefined;
	}

	describe(now: SteadyMs): ViewStatus {
		return {
			nextOffset: this.nextOffset, end: this.end, answerAgeMs: computeAge(now, this.answeredAt), completeAgeMs: computeAge(now, this.completeAt),
		};
	}
}

/** True if the staleness of the view is below `ageMs`. */
export function isCompleteWithin({completeAgeMs}: ViewStatus, ageMs: number): boolean {
	return completeAgeMs !== undefined && completeAgeMs < ageMs;
}

function computeAge(now: SteadyMs, then: SteadyMs | undefined): number | undefined {
	return then === undefined ? undefined : Math.round(now - then);
}
