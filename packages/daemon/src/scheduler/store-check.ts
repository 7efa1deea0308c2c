/** Finds out whether the store answers before a caller's record is sent to it: a record sent to a silent store has an unknown outcome, and its caller must not try again elsewhere. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SteadyMs} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';

/** After an answer this recent, the store counts as answering without another question. */
const maxAnswerAgeMs = 250;
/** A question without an answer is asked again after this time, as the answer may have been lost. */
const repeatMs = 150;
const limitMs = 400;

export type StoreCheckOptions = {
	/** Asks the store something that changes nothing; resolves to true if it has answered. */
	readonly ask: () => Promise<boolean>;
	/** When the store last answered any call of this host; undefined before the first answer. */
	readonly getAnsweredAt: () => SteadyMs | undefined;
};

export class StoreCheck {
	static create(options: StoreCheckOptions): StoreCheck {
		return new StoreCheck(options);
	}

	/** The question under way, which callers at the same time share. */
	private question: Promise<boolean> | undefined;

	private constructor(private readonly options: StoreCheckOptions) {}

	/** Resolves within `limitMs`, at once if the store has just answered. */
	async isAnswering(): Promise<boolean> {
		const answeredAt = this.options.getAnsweredAt();
		if (answeredAt !== undefined && readSteadyClock() - answeredAt < maxAnswerAgeMs) {
			return true;
		}

		this.question ??= this.ask().finally(() => {
			this.question = undefined;
		});
		return this.question;
	}

	private async ask(): Promise<boolean> {
		const first = this.options.ask();
		if (await isTrueWithin([first], repeatMs)) {
			return true;
		}

		return isTrueWithin([first, this.options.ask()], limitMs - repeatMs);
	}
}

/** True as soon as one of the promises resolves to true; false if none has after `withinMs`. */
async function isTrueWithin(promises: ReadonlyArray<Promise<boolean>>, withinMs: number): Promise<boolean> {
	const timeout = new AbortController();
	const answers = promises.map(async promise => {
		if (!await promise) {
			throw new Error('not answered');
		}

		return true;
	});
	const limit = sleep(withinMs, false, {signal: timeout.signal});
	try {
		return await Promise.race([Promise.any(answers), limit]);
	} catch {
		// None of them was answered.
		return false;
	} finally {
		timeout.abort();
		limit.catch(() => undefined);
	}
}
