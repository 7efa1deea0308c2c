/** Writes jobs and cancels to the store, several in one append; repeats an append whose outcome is unknown. */
import type {IntakeRecord} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import {encodeIntake, intakeStream} from './codec.js';
import type {KeyedStore} from './ports.js';

/** `refused`: surely not stored; `unknown`: may be stored, now or later. */
export type WriteOutcome = 'stored' | 'refused' | 'unknown';

type PendingWrite = {
	readonly record: IntakeRecord;
	readonly deadline: number;
	readonly resolve: (outcome: WriteOutcome) => void;
	/** An append with it had no answer. */
	mayBeStored: boolean;
	refusalCount: number;
};

const retryMs = 40;
const maxBatchSize = 200;
/** So many refusals give a record up. */
const maxRefusals = 2;
/** An append that has no answer for this long is overtaken by the next: its answer may be lost while the store is well. */
const pipelineDelayMs = 150;
const maxInFlight = 3;
/** Without any answer for this long, far above that of a slow store, the store is out of reach. */
const unresponsiveMs = 700;
/** A store out of reach is tried again this much later. */
const probeIntervalMs = 500;

export class IntakeWriter {
	static create(store: KeyedStore): IntakeWriter {
		return new IntakeWriter(store);
	}

	private queue: PendingWrite[] = [];
	private inFlight = 0;
	private sentAt = 0;
	/** Since when appends were sent and none was answered. */
	private unansweredSince: number | undefined;

	private constructor(private readonly store: KeyedStore) {}

	/** True while the store does not answer appends. Now and then a record is let through, to see whether it does again. */
	isStoreUnresponsive(): boolean {
		const now = readSteadyClock();
		const isProbeDue = this.inFlight === 0 && now - this.sentAt > probeIntervalMs;
		return this.unansweredSince !== undefined && now - this.unansweredSince > unresponsiveMs && !isProbeDue;
	}

	/** Resolves once the record is stored or given up, at the deadline (steady clock) at the latest; at once while the store is silent. */
	async write(record: IntakeRecord, deadline: number): Promise<WriteOutcome> {
		if (this.isStoreUnresponsive()) {
			return 'refused';
		}

		return new Promise(resolve => {
			this.queue.push({
				record, deadline, resolve, mayBeStored: false, refusalCount: 0,
			});
			this.sendNext();
		});
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

		void this.send(this.queue.splice(0, maxBatchSize));
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
		}, unresponsiveMs + 1);
		const outcome = await this.store.append(intakeStream, batch.map(entry => encodeIntake(entry.record)));
		clearTimeout(timer);
		this.inFlight--;
		this.unansweredSince = outcome.type === 'unknown' ? this.unansweredSince : undefined;
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

	/** While the store is silent, what was not sent is refused. */
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

	/** What may be stored is repeated until its deadline; what surely is not is refused soon. */
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
