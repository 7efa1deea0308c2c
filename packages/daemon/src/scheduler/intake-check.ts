/** Makes sure, before a job is refused, that no host has accepted it: the intake is read to its end by a request that is sent after the caller's arrived. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SteadyMs} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import {waitAtMost} from './wait-at-most.js';

/** Least time between two reads, which all calls share. */
const readIntervalMs = 100;

export type IntakeCheckOptions = {
	/** Reads what was stored in the intake meanwhile. */
	readonly refresh: () => Promise<void>;
	/** All jobs that were stored before this instant have been read. */
	readonly getCompleteAt: () => SteadyMs;
};

export class IntakeCheck {
	static create(options: IntakeCheckOptions): IntakeCheck {
		return new IntakeCheck(options);
	}

	private reading: Promise<void> | undefined;
	private readAt: SteadyMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: IntakeCheckOptions) {}

	/** Resolves to true once all jobs stored before `since` have been read; to false if that takes longer than `limitMs`. */
	async isCompleteSince(since: SteadyMs, limitMs: number): Promise<boolean> {
		const deadline = readSteadyClock() + limitMs;
		while (this.options.getCompleteAt() < since) {
			if (readSteadyClock() >= deadline) {
				return false;
			}

			this.reading ??= this.read().finally(() => {
				this.reading = undefined;
			});
			// eslint-disable-next-line no-await-in-loop
			await waitAtMost(this.reading, deadline - readSteadyClock());
		}

		return true;
	}

	private async read(): Promise<void> {
		await sleep(Math.max(0, this.readAt + readIntervalMs - readSteadyClock()));
		this.readAt = readSteadyClock();
		await this.options.refresh();
	}
}
