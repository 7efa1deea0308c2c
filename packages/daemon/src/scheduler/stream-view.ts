/** How much of a stream a host has read, and as of when that was all of it. */
import type {SteadyMs} from '@rhubarblever/core/scheduler';

/** Ages are in milliseconds; undefined before the first time. */
export type ViewStatus = {
	/** Where the next read begins. */
	readonly nextOffset: number | undefined;
	/** Where the stream ended, as the store last told. */
	readonly end: number | undefined;
	/** Since the store last answered. */
	readonly answerAgeMs: number | undefined;
	/** All that was stored before this age has been read. */
	readonly completeAgeMs: number | undefined;
};

export class StreamView {
	static create(): StreamView {
		return new StreamView();
	}

	nextOffset: number | undefined;
	/** All that was stored before this instant has been read. */
	completeAt: SteadyMs | undefined;
	private end: number | undefined;
	private answeredAt: SteadyMs | undefined;

	private constructor() {}

	/** The store has answered, whatever it said. */
	noteAnswer(answeredAt: SteadyMs): void {
		this.answeredAt = answeredAt;
	}

	/** Takes down what has been read up to `nextOffset`, by a question that was asked at `askedAt`. */
	noteRead(nextOffset: number, end: number, askedAt: SteadyMs): void {
		this.nextOffset = nextOffset;
		this.end = end;
		// An answer holds at least what was stored when it was asked for, if it reaches the end.
		this.completeAt = nextOffset >= end ? askedAt : this.completeAt;
	}

	/** True if there is more to read, as far as is known. */
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

/** True if all is known that was stored before this age. */
export function isCompleteWithin({completeAgeMs}: ViewStatus, ageMs: number): boolean {
	return completeAgeMs !== undefined && completeAgeMs < ageMs;
}

function computeAge(now: SteadyMs, then: SteadyMs | undefined): number | undefined {
	return then === undefined ? undefined : Math.round(now - then);
}
