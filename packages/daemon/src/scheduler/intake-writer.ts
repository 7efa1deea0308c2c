/** Writes job submissions and cancellations to the store in batches and retries appends whose outcome is unknown. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {IntakeRecord, SteadyMs} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import {canStore, splitAppend} from './append-batches.js';
import {encodeIntake, intakeStream} from './codec.js';
import type {AppendOutcome, KeyedStore, NewRecord} from './ports.js';
import {StoreCheck} from './store-check.js';

/** `refused`: definitely not stored; `unknown`: may be stored, now or later. */
export type WriteOutcome = 'stored' | 'refused' | 'unknown';

type PendingWrite = {
	readonly record: NewRecord;
	readonly deadline: number;
	readonly resolve: (outcome: WriteOutcome) => void;
	/** True once an append that contained the record ended with an unknown outcome. */
	mayBeStored: boolean;
	refusalCount: number;
};

const retryMs = 40;
const maxBatchSize = 200;
/** A record that was never possibly stored is given up after this many refusals. */
const maxRefusals = 2;
/** The next append is sent after this time even if the previous one has no response, which may be lost although the store is healthy. */
const pipelineDelayMs = 150;
const maxInFlight = 3;
/** The store counts as unresponsive after this time without any response; a slow store responds much faster. */
const unresponsiveMs = 700;
/** While the store is unresponsive, an empty append is sent at this interval to find out whether it is back. */
const probeIntervalMs = 500;

export type IntakeWriterOptions = {
	/** When the store last answered a read of this host; undefined before the first answer. */
	readonly getStoreAnsweredAt: () => SteadyMs | undefined;
};

export class IntakeWriter {
	static create(store: KeyedStore, options: IntakeWriterOptions): IntakeWriter {
		return new IntakeWriter(store, options);
	}

	private queue: PendingWrite[] = [];
	private inFlight = 0;
	private sentAt = 0;
	/** Send time of the first append since the store last responded; undefined after each response. */
	private unansweredSince: number | undefined;
	private isProbing = false;
	/** When the store last answered an append. */
	private answeredAt = Number.NEGATIVE_INFINITY;
	/** When this host first refused a record because the store had not answered it for a moment; counts until the store's next answer. */
	private outageSince: SteadyMs | undefined;
	private readonly check: StoreCheck;

	private constructor(private readonly store: KeyedStore, private readonly options: IntakeWriterOptions) {
		this.check = StoreCheck.create({
			ask: async () => this.noteOutcome(await this.store.append(intakeStream, [])),
			getAnsweredAt: () => this.getAnsweredAt(),
		});
	}

	/** True while the store does not respond to appends. */
	isStoreUnresponsive(): boolean {
		return this.unansweredSince !== undefined && readSteadyClock() - this.unansweredSince > unresponsiveMs;
	}

	/** False for a record that is larger than the store takes. */
	canStore(record: IntakeRecord): boolean {
		return canStore(encodeIntake(record), this.store.limits);
	}

	/** How long the store has not answered while records were refused for it; 0 if it answers. */
	getOutageMs(): number {
		const now = readSteadyClock();
		if (this.unansweredSince !== undefined && this.isStoreUnresponsive()) {
			return now - this.unansweredSince;
		}

		return this.outageSince === undefined || this.getAnsweredAt() > this.outageSince ? 0 : now - this.outageSince;
	}

	/** Resolves once the record is stored or given up, at the latest at `deadline` (monotonic clock); at once while the store is unresponsive. */
	async write(record: IntakeRecord, deadline: number): Promise<WriteOutcome> {
		const encoded = encodeIntake(record);
		if (!canStore(encoded, this.store.limits)) {
			return 'refused';
		}

		if (this.isStoreUnresponsive() || !await this.check.isAnswering()) {
			this.noteOutage();
			return 'refused';
		}

		return new Promise(resolve => {
			this.queue.push({
				record: encoded, deadline, resolve, mayBeStored: false, refusalCount: 0,
			});
			this.sendNext();
		});
	}

	private getAnsweredAt(): SteadyMs {
		return Math.max(this.answeredAt, this.options.getStoreAnsweredAt() ?? Number.NEGATIVE_INFINITY);
	}

	private noteOutage(): void {
		this.outageSince = this.getOutageMs() === 0 ? readSteadyClock() : this.outageSince;
	}

	private sendNext(): void {
		if (this.queue.length === 0) {
			return;
		}

		const waitMs = this.inFlight === 0 ? 0 : this.sentAt + pipelineDelayMs - readSteadyClock();
		if (this.inFlight >= maxInFlight) {
			return;
		}

		if (waitMs > 0) {
			this.scheduleNext(waitMs);
			return;
		}

		void this.send(this.takeBatch());
	}

	/** Takes as many records off the queue as one append may hold. */
	private takeBatch(): PendingWrite[] {
		const [batch = []] = splitAppend(this.queue.slice(0, maxBatchSize).map(({record}) => record), this.store.limits);
		return this.queue.splice(0, batch.length);
	}

	private scheduleNext(inMs: number): void {
		setTimeout(() => {
			this.sendNext();
		}, inMs);
	}

	private async send(batch: readonly PendingWrite[]): Promise<void> {
		this.inFlight++;
		this.sentAt = readSteadyClock();
		this.unansweredSince ??= this.sentAt;
		const timer = setTimeout(() => {
			this.refuseUnsent();
			void this.probe();
		}, unresponsiveMs + 1);
		const outcome = await this.store.append(intakeStream, batch.map(({record}) => record));
		this.inFlight--;
		if (this.noteOutcome(outcome)) {
			clearTimeout(timer);
		}

		if (outcome.type === 'appended') {
			for (const entry of batch) {
				entry.resolve('stored');
			}

			this.sendNext();
			return;
		}

		this.retryOrResolve(batch, outcome.type === 'refused');
		this.scheduleNext(retryMs);
	}

	/** Returns true if the store has answered. */
	private noteOutcome(outcome: AppendOutcome): boolean {
		const isAnswered = outcome.type !== 'unknown' && !(outcome.type === 'refused' && outcome.isUnreachable === true);
		if (isAnswered) {
			this.unansweredSince = undefined;
			this.answeredAt = readSteadyClock();
		}

		return isAnswered;
	}

	/** Sends empty appends until the store responds: a caller's record would risk an unknown outcome. */
	private async probe(): Promise<void> {
		if (this.isProbing) {
			return;
		}

		this.isProbing = true;
		while (this.isStoreUnresponsive()) {
			// eslint-disable-next-line no-await-in-loop
			this.noteOutcome(await this.store.append(intakeStream, []));
			// eslint-disable-next-line no-await-in-loop
			await sleep(this.isStoreUnresponsive() ? probeIntervalMs : 0);
		}

		this.isProbing = false;
	}

	/** While the store is unresponsive, refuses queued records that cannot have been stored. */
	private refuseUnsent(): void {
		if (!this.isStoreUnresponsive()) {
			return;
		}

		for (const entry of this.queue) {
			if (!entry.mayBeStored) {
				entry.resolve('refused');
			}
		}

		this.queue = this.queue.filter(entry => entry.mayBeStored);
	}

	/** Retries records that may be stored until their deadline, and gives up the others after `maxRefusals` refusals. */
	private retryOrResolve(batch: readonly PendingWrite[], isRefused: boolean): void {
		const now = readSteadyClock();
		for (const entry of batch.toReversed()) {
			entry.mayBeStored ||= !isRefused;
			entry.refusalCount += isRefused ? 1 : 0;
			if (!entry.mayBeStored && entry.refusalCount >= maxRefusals) {
				entry.resolve('refused');
			} else if (now + retryMs >= entry.deadline) {
				entry.resolve(entry.mayBeStored ? 'unknown' : 'refused');
			} else {
				this.queue.unshift(entry);
			}
		}
	}
}
