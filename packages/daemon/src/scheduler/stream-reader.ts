/** Reads a stream of the store continuously: first the newest record of each key, then each new record. */
import {setTimeout as sleep} from 'node:timers/promises';
import {readSteadyClock} from './clocks.js';
import type {DecisionLog} from './decision-log.js';
import type {KeyedRecord, KeyedStore} from './ports.js';
import {StreamView} from './stream-view.js';

const retryMs = 200;
const retryReloadMs = 400;

export type StreamReaderHandlers = {
	/** Receives the newest record of each key; it replaces everything read before. */
	handleLoaded(records: readonly KeyedRecord[], nextOffset: number): void;
	/** Receives the records appended since the last call. */
	handleRead(records: readonly KeyedRecord[], nextOffset: number): void;
};

export type StreamReaderOptions = {
	readonly stream: string;
	/** Long-poll time of a read. */
	readonly waitMs: () => number;
	/** Pause between two reads, so that one read returns several records. */
	readonly pauseMs: () => number;
	/** While false, the stream is not read; it is loaded again afterwards. */
	readonly isEnabled: () => boolean;
	readonly log: DecisionLog;
};

export class StreamReader {
	static create(store: KeyedStore, options: StreamReaderOptions, handlers: StreamReaderHandlers): StreamReader {
		return new StreamReader(store, options, handlers);
	}

	readonly view = StreamView.create();
	private isStopped = false;
	private isReachable = true;
	private isBehind = false;
	/** Counts reloads; the result of a request sent before the latest reload is ignored. */
	private generation = 0;

	private constructor(private readonly store: KeyedStore, private readonly options: StreamReaderOptions, private readonly handlers: StreamReaderHandlers) {}

	/** Reads until `stop` is called. */
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

	/** Discards the position, so that the whole stream is loaded again. */
	reload(): void {
		this.view.nextOffset = undefined;
		this.generation++;
	}

	stop(): void {
		this.isStopped = true;
	}

	private async readNext(): Promise<number> {
		if (!this.options.isEnabled()) {
			this.view.nextOffset = undefined;
			// Checks more often whether reading is enabled than a failed read is retried: this check sends nothing.
			return retryMs / 4;
		}

		return this.view.nextOffset === undefined ? this.load() : this.read(this.view.nextOffset);
	}

	private async load(): Promise<number> {
		const {generation} = this;
		const {stream, log} = this.options;
		const requestedAt = readSteadyClock();
		const outcome = await this.store.listNewest(stream);
		this.setReachable(outcome.type === 'loaded');
		if (outcome.type !== 'loaded') {
			return retryReloadMs;
		}

		if (generation !== this.generation || !this.options.isEnabled()) {
			return 0;
		}

		const {records, nextOffset, pages} = outcome;
		log.note('stream-loaded', {
			stream, records: records.length, pages, nextOffset, tookMs: Math.round(readSteadyClock() - requestedAt),
		});
		// The position is set before the handler runs, because the handler may request a reload.
		this.view.noteRead(nextOffset, nextOffset, requestedAt);
		this.handlers.handleLoaded(records, nextOffset);
		return 0;
	}

	private async read(from: number): Promise<number> {
		const {generation} = this;
		const requestedAt = readSteadyClock();
		const outcome = await this.store.read(this.options.stream, from, this.options.waitMs());
		this.setReachable(outcome.type !== 'unavailable');
		if (outcome.type === 'unavailable') {
			return retryMs;
		}

		if (generation !== this.generation || !this.options.isEnabled()) {
			return 0;
		}

		if (outcome.type === 'deleted') {
			// The store no longer has the record at the next offset, so the stream is loaded again.
			this.options.log.warn('stream-forgotten', {stream: this.options.stream, nextOffset: from});
			this.reload();
			return 0;
		}

		this.view.noteRead(outcome.nextOffset, outcome.end, requestedAt);
		this.noteProgress(outcome.end);
		this.handlers.handleRead(outcome.records, outcome.nextOffset);
		return this.options.pauseMs();
	}

	/** Logs when a read ends before the stream's end, and when a read reaches the end again. */
	private noteProgress(end: number): void {
		const isBehind = this.view.isBehind();
		if (isBehind === this.isBehind) {
			return;
		}

		this.isBehind = isBehind;
		this.options.log.note(isBehind ? 'stream-behind' : 'stream-caught-up', {stream: this.options.stream, nextOffset: this.view.nextOffset, end});
	}

	private setReachable(isReachable: boolean): void {
		if (isReachable) {
			this.view.noteAnswer(readSteadyClock());
		}

		if (isReachable === this.isReachable) {
			return;
		}

		this.isReachable = isReachable;
		const {log, stream} = this.options;
		if (isReachable) {
			log.note('store-regained', {stream});
		} else {
			// Covers this stream only: a load or a read of it has failed.
			log.warn('store-lost', {stream});
		}
	}
}
