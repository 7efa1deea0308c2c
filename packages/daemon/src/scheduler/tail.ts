/** Follows a stream of the store: all of it first, then each record as it comes. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {KeyedRecord, KeyedStore} from './ports.js';

const retryMs = 200;
const retryReloadMs = 400;

export type TailHandlers = {
	/** The newest record of each key; whatever was known before is out of date. */
	handleLoaded(records: readonly KeyedRecord[], nextOffset: number): void;
	handleRead(records: readonly KeyedRecord[], nextOffset: number): void;
	/** The store stopped answering, or answers again. */
	handleReach(isReached: boolean): void;
};

export type TailOptions = {
	readonly stream: string;
	readonly waitMs: () => number;
	/** Pause between two reads, so that several records share one. */
	readonly pauseMs: () => number;
	/** False: nothing is read for now. */
	readonly isWanted: () => boolean;
};

export class Tail {
	static create(store: KeyedStore, options: TailOptions, handlers: TailHandlers): Tail {
		return new Tail(store, options, handlers);
	}

	/** All that was stored at this instant is known here; 0 before. Never later than what the store's answer tells of. */
	lastAnswerAt = 0;
	private nextOffset: number | undefined;
	private isStopped = false;
	private isReached = true;
	private generation = 0;

	private constructor(private readonly store: KeyedStore, private readonly options: TailOptions, private readonly handlers: TailHandlers) {}

	/** Follows until it is stopped. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			// eslint-disable-next-line no-await-in-loop
			const pauseMs = await this.readNext();
			if (pauseMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await sleep(pauseMs);
			}
		}
	}

	/** Forgets the place: the next step reads all again. */
	reload(): void {
		this.nextOffset = undefined;
		this.generation++;
	}

	stop(): void {
		this.isStopped = true;
	}

	private async readNext(): Promise<number> {
		if (!this.options.isWanted()) {
			this.nextOffset = undefined;
			return retryMs / 4;
		}

		return this.nextOffset === undefined ? this.load() : this.read(this.nextOffset);
	}

	private async load(): Promise<number> {
		const {generation} = this;
		const outcome = await this.store.listNewest(this.options.stream);
		this.setReached(outcome.type === 'read');
		if (outcome.type !== 'read') {
			return retryReloadMs;
		}

		if (generation !== this.generation || !this.options.isWanted()) {
			return 0;
		}

		this.nextOffset = outcome.nextOffset;
		this.handlers.handleLoaded(outcome.records, outcome.nextOffset);
		this.lastAnswerAt = outcome.answeredAt;
		return 0;
	}

	private async read(from: number): Promise<number> {
		const {generation} = this;
		const outcome = await this.store.read(this.options.stream, from, this.options.waitMs());
		this.setReached(outcome.type !== 'unavailable');
		if (outcome.type === 'unavailable') {
			return retryMs;
		}

		if (generation !== this.generation || !this.options.isWanted()) {
			return 0;
		}

		if (outcome.type === 'forgotten') {
			this.reload();
			return 0;
		}

		this.nextOffset = outcome.nextOffset;
		this.handlers.handleRead(outcome.records, outcome.nextOffset);
		if (outcome.isAtEnd) {
			this.lastAnswerAt = outcome.answeredAt;
		}

		return this.options.pauseMs();
	}

	private setReached(isReached: boolean): void {
		if (isReached !== this.isReached) {
			this.isReached = isReached;
			this.handlers.handleReach(isReached);
		}
	}
}
