/** Writes jobs and cancels to the store, several in one append; repeats an append whose outcome is unknown. */
import type {IntakeRecord} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import {encodeIntake, intakeStream} from './codec.js';
import type {KeyedStore} from './ports.js';

/** `refused`: surely not stored; `unknown`: may be stored, now or later. */
export type WriteOutcome = 'stored' | 'refused' | 'unknown';

type Entry = {
	readonly record: IntakeRecord;
	readonly deadline: number;
	readonly resolve: (outcome: WriteOutcome) => void;
	/** An append with it had no answer. */
	isDoubtful: boolean;
	refusals: number;
};

const retryMs = 40;
const mostInOneAppend = 200;
/** So many refusals give a record up. */
const mostRefusals = 2;
/** An append that has no answer for this long is overtaken by the next: its answer may be lost while the store is well. */
const overtakeMs = 150;
const mostInFlight = 3;
/** Without any answer for this long, far above that of a slow store, the store is out of reach. */
const silentMs = 700;
/** A store out of reach is tried again this much later. */
const probePauseMs = 500;

export class IntakeWriter {
	static create(store: KeyedStore): IntakeWriter {
		return new IntakeWriter(store);
	}

	private queue: Entry[] = [];
	private inFlight = 0;
	private sentAt = 0;
	/** Since when appends were sent and none was answered. */
	private silentSince: number | undefined;

	private constructor(private readonly store: KeyedStore) {}

	/** True while the store does not answer appends. Now and then a record is let through, to see whether it does again. */
	isSilent(): boolean {
		const now = readSteadyClock();
		const isProbeDue = this.inFlight === 0 && now - this.sentAt > probePauseMs;
		return this.silentSince !== undefined && now - this.silentSince > silentMs && !isProbeDue;
	}

	/** Resolves once the record is stored or given up, at the deadline (steady clock) at the latest; at once while the store is silent. */
	async write(record: IntakeRecord, deadline: number): Promise<WriteOutcome> {
		if (this.isSilent()) {
			return 'refused';
		}

		return new Promise(resolve => {
			this.queue.push({
				record, deadline, resolve, isDoubtful: false, refusals: 0,
			});
			this.sendNext();
		});
	}

	private sendNext(): void {
		if (this.queue.length === 0) {
			return;
		}

		const waitMs = this.inFlight === 0 ? 0 : this.sentAt + overtakeMs - readSteadyClock();
		if (this.inFlight >= mostInFlight) {
			return;
		}

		if (waitMs > 0) {
			this.scheduleNext(waitMs);
			return;
		}

		void this.send(this.queue.splice(0, mostInOneAppend));
	}

	private scheduleNext(inMs: number): void {
		setTimeout(() => {
			this.sendNext();
		}, inMs);
	}

	private async send(batch: readonly Entry[]): Promise<void> {
		this.inFlight++;
		this.sentAt = readSteadyClock();
		this.silentSince ??= this.sentAt;
		const timer = setTimeout(() => {
			this.refuseUnsent();
		}, silentMs + 1);
		const outcome = await this.store.append(intakeStream, batch.map(entry => encodeIntake(entry.record)));
		clearTimeout(timer);
		this.inFlight--;
		this.silentSince = outcome.type === 'unknown' ? this.silentSince : undefined;
		if (outcome.type === 'appended') {
			for (const entry of batch) {
				entry.resolve('stored');
			}

			this.sendNext();
			return;
		}

		this.keepOrGiveUp(batch, outcome.type === 'refused');
		this.scheduleNext(retryMs);
	}

	/** While the store is silent, what was not sent is refused. */
	private refuseUnsent(): void {
		if (!this.isSilent()) {
			return;
		}

		for (const entry of this.queue) {
			if (!entry.isDoubtful) {
				entry.resolve('refused');
			}
		}

		this.queue = this.queue.filter(entry => entry.isDoubtful);
	}

	/** What may be stored is repeated until its deadline; what surely is not is refused soon. */
	private keepOrGiveUp(batch: readonly Entry[], isRefused: boolean): void {
		const now = readSteadyClock();
		for (const entry of batch.toReversed()) {
			entry.isDoubtful ||= !isRefused;
			entry.refusals += isRefused ? 1 : 0;
			if (!entry.isDoubtful && entry.refusals >= mostRefusals) {
				entry.resolve('refused');
			} else if (now + retryMs >= entry.deadline) {
				entry.resolve(entry.isDoubtful ? 'unknown' : 'refused');
			} else {
				this.queue.unshift(entry);
			}
		}
	}
}
