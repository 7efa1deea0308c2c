/** The only place where the scheduler host reads its clocks. */
import {performance} from 'node:perf_hooks';
import type {Instant} from '@rhubarblever/core';

/** Milliseconds of the monotonic clock. */
export function readSteadyClock(): number {
	return performance.now();
}

/** Wall-clock time; it may jump forwards or backwards. */
export function readWallClock(): Instant {
	return Date.now() as Instant;
}

/** The wall clock is corrected by less than this within the times that are measured here, and the two clocks are not read at the same instant. */
const minGainMs = 50;

/**
 * A monotonic clock that counts the time in which the host was suspended, as far as the wall clock shows it. It also
 * advances when the wall clock is set forward, so what is measured with it may seem older than it is, but not younger.
 */
export class ElapsedClock {
	static create(readSteady: () => number = readSteadyClock, readWall: () => number = readWallClock): ElapsedClock {
		return new ElapsedClock(readSteady, readWall);
	}

	/** Lowest lead of the wall clock over the monotonic clock since the last gain; it follows a wall clock that is set back. */
	private wallLeadMs: number;
	private gainedMs = 0;

	private constructor(private readonly readSteady: () => number, private readonly readWall: () => number) {
		this.wallLeadMs = readWall() - readSteady();
	}

	read(): number {
		const now = this.readSteady();
		const leadMs = this.readWall() - now;
		const gainMs = leadMs - this.wallLeadMs;
		if (gainMs >= minGainMs) {
			this.gainedMs += gainMs;
			this.wallLeadMs = leadMs;
		}

		this.wallLeadMs = Math.min(this.wallLeadMs, leadMs);
		return now + this.gainedMs;
	}
}

const elapsedClock = ElapsedClock.create();

/** A point in time by the monotonic clock, and by the clock that counts suspensions. */
export type Moment = {readonly at: number; readonly elapsedMs: number};

export function readMoment(): Moment {
	return {at: readSteadyClock(), elapsedMs: elapsedClock.read()};
}
