/** Reads a stream of the store continuously: first the newest record of each key, then each new record. */
import {readMoment, readSteadyClock, type Moment} from './clocks.js';
import type {DecisionLog} from './decision-log.js';
import type {KeyedRecord, KeyedStore, ReadOutcome} from './ports.js';
import {isCompleteWithin, StreamView} from './stream-view.js';

const retryMs = 200;
const retryReloadMs = 400;
/** A read of an urgent stream that the store leaves unanswered is sent again this often beside it. */
const probeMs = 300;
/** A reader that is not enabled looks again after this time even if nothing wakes it. */
const disabledCheckMs = 1000;

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
	/** While false, the stream is not read; it is loaded again afterwards. Call `wake` when this changes. */
	readonly isEnabled: () => boolean;
	/** While true, the return of a store that was out of reach is noticed at once rather than by the next continuous read. */
	readonly isUrgent: () => boolean;
	readonly log: DecisionLog;
};

export class StreamReader {
	static create(store: KeyedStore, options: StreamReaderOptions, handlers: StreamReaderHandlers): StreamReader {
		return new StreamReader(store, options, handlers);
	}

	readonly view = StreamView.create();
	private isStopped = false;
	private isReachable = true;
	/** Whether `refresh` has sent a read since the continuous reads failed. */
	private hasRetried = false;
	private isBehind = false;
	/** Counts reloads; the result of a request sent before the latest reload is ignored. */
	private generation = 0;
	/** Ends the pause under way; undefined while a request is. */
	private endPause: (() => void) | undefined;
	/** The read that `refresh` has under way. */
	private refreshing: Promise<void> | undefined;

	private constructor(private readonly store: KeyedStore, private readonly options: StreamReaderOptions, private readonly handlers: StreamReaderHandlers) {}

	/** Reads until `stop` is called. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			// eslint-disable-next-line no-await-in-loop
			const pauseMs = await this.readNext();
			if (pauseMs > 0 && !this.isStopped) {
				// eslint-disable-next-line no-await-in-loop
				await this.waitOrWake(pauseMs);
			}
		}
	}

	/** Ends a pause, so that the next read is sent now. */
	wake(): void {
		this.endPause?.();
	}

	/**
	 * Reads what was stored meanwhile, without waiting for new records, if the view is staler than `maxAgeMs`. Calls at
	 * the same time share one read. Does nothing while the stream is not read. After a failed request one more is sent, as
	 * the failure may come from a pause of this process; then nothing until a continuous read is answered. Never rejects.
	 */
	async refresh(maxAgeMs: number): Promise<void> {
		const {nextOffset} = this.view;
		const isFresh = isCompleteWithin(this.view.describe(readMoment()), maxAgeMs);
		if (nextOffset === undefined || isFresh || !this.options.isEnabled()) {
			return;
		}

		if (!this.refreshing && (this.isReachable || !this.hasRetried)) {
			this.hasRetried = !this.isReachable;
			this.refreshing = this.readAtOnce(nextOffset).finally(() => {
				this.refreshing = undefined;
			});
		}

		await this.refreshing;
	}

	/** Discards the position, so that the whole stream is loaded again. */
	reload(): void {
		this.view.clearPosition();
		this.generation++;
	}

	/** Marks the view as stale and reads again at once. */
	expire(): void {
		this.view.expire();
		void this.refresh(0);
	}

	stop(): void {
		this.isStopped = true;
		this.wake();
	}

	private async waitOrWake(pauseMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, pauseMs);
			this.endPause = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.endPause = undefined;
	}

	private async readNext(): Promise<number> {
		if (!this.options.isEnabled()) {
			this.view.nextOffset = undefined;
			return disabledCheckMs;
		}

		return this.view.nextOffset === undefined ? this.load() : this.read(this.view.nextOffset);
	}

	private async load(): Promise<number> {
		const {generation} = this;
		const {stream, log} = this.options;
		const requested = readMoment();
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
			stream, records: records.length, pages, nextOffset, tookMs: Math.round(readSteadyClock() - requested.at),
		});
		// The position is set before the handler runs, because the handler may request a reload.
		this.view.noteRead(nextOffset, nextOffset, requested);
		this.handlers.handleLoaded(records, nextOffset);
		return 0;
	}

	private async read(from: number): Promise<number> {
		const {generation} = this;
		const requested = readMoment();
		const stopProbing = this.startProbing();
		const outcome = await this.store.read(this.options.stream, from, this.options.waitMs()).finally(stopProbing);
		this.setReachable(outcome.type !== 'unavailable');
		if (outcome.type === 'unavailable') {
			return retryMs;
		}

		if (generation !== this.generation || !this.options.isEnabled()) {
			return 0;
		}

		if (outcome.type === 'deleted' || outcome.end < from) {
			// The store no longer has the record at the next offset, or has lost its history, so the stream is loaded again.
			this.options.log.warn('stream-forgotten', {stream: this.options.stream, nextOffset: from});
			this.reload();
			return 0;
		}

		this.applyRead(outcome, requested);
		return this.options.pauseMs();
	}

	/** Until the returned function is called, a store that is out of reach is asked again and again: it may be back while an earlier read still hangs. */
	private startProbing(): () => void {
		if (this.isReachable || !this.options.isUrgent()) {
			return () => undefined;
		}

		const timer = setInterval(() => {
			if (this.view.nextOffset !== undefined) {
				void this.readAtOnce(this.view.nextOffset);
			}
		}, probeMs);
		return () => {
			clearInterval(timer);
		};
	}

	/** A failed read changes nothing: the continuous reads judge whether the store is reachable. */
	private async readAtOnce(from: number): Promise<void> {
		const {generation} = this;
		const requested = readMoment();
		const outcome = await this.store.read(this.options.stream, from, 0);
		if (outcome.type === 'read' && outcome.end >= from && generation === this.generation && this.options.isEnabled()) {
			this.view.noteAnswer(readSteadyClock());
			this.applyRead(outcome, requested);
		}
	}

	/** Passes on the records that no other read has brought meanwhile. */
	private applyRead({records, nextOffset, end}: Extract<ReadOutcome, {type: 'read'}>, requested: Moment): void {
		const from = this.view.nextOffset ?? nextOffset;
		this.view.noteRead(Math.max(from, nextOffset), end, requested);
		this.noteProgress(end);
		this.handlers.handleRead(records.filter(({offset}) => offset >= from), Math.max(from, nextOffset));
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
		this.hasRetried = false;
		const {log, stream} = this.options;
		if (isReachable) {
			log.note('store-regained', {stream});
		} else {
			// Covers this stream only: a load or a read of it has failed.
			log.warn('store-lost', {stream});
		}
	}
}
