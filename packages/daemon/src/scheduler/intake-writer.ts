/** Writes jobs and cancels to the store, several in one append; repeats an append whose outcome is unknown. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {IntakeRecord} from '@rhubarblever/core/scheduler';
import {readSteadyClock} from './clocks.js';
import {encodeIntake, intakeStream} from './codec.js';
import type {AppendOutcome, KeyedStore} from './ports.js';

/** `refused`: surely not stored; `unknown`: may be stored, now or later. */
export type WriteOutcome = 'stored' | 'refused' | 'unknown';

type Entry = {
	readonly record: IntakeRecord;
	readonly deadline: number;
	readonly resolve: (outcome: WriteOutcome) => void;
	/** An append with it had no answer. */
	isDoubtful: boolean;
};

const retryMs = 40;
const mostInOneAppend = 200;
/** So many refusals in a row give a record up. */
const mostRefusals = 2;
/** An append that takes longer than this, far above that of a slow store, has probably lost its way. */
const silentMs = 700;
/** After an append without an answer the store is tried again this much later. */
const probePauseMs = 500;

export class IntakeWriter {
	static create(store: KeyedStore): IntakeWriter {
		return new IntakeWriter(store);
	}

	private readonly queue: Entry[] = [];
	private isWriting = false;
	/** Since when the store owes an answer. */
	private askedAt: number | undefined;
	/** When an append was last given up without an answer, if none was answered since. */
	private unansweredAt: number | undefined;

	private constructor(private readonly store: KeyedStore) {}

	/** True while the store does not answer appends. */
	isSilent(): boolean {
		const now = readSteadyClock();
		const isWaiting = this.askedAt !== undefined && now - this.askedAt > silentMs;
		return isWaiting || (this.unansweredAt !== undefined && now - this.unansweredAt < probePauseMs);
	}

	/** Resolves once the record is stored or given up, at the deadline (steady clock) at the latest; at once while the store is silent. */
	async write(record: IntakeRecord, deadline: number): Promise<WriteOutcome> {
		if (this.isSilent()) {
			return 'refused';
		}

		return new Promise(resolve => {
			this.queue.push({
				record, deadline, resolve, isDoubtful: false,
			});
			void this.drain();
		});
	}

	private async drain(): Promise<void> {
		if (this.isWriting) {
			return;
		}

		this.isWriting = true;
		let refusals = 0;
		while (this.queue.length > 0) {
			const batch = this.queue.splice(0, mostInOneAppend);
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.append(batch);
			if (outcome.type === 'appended') {
				refusals = 0;
				for (const entry of batch) {
					entry.resolve('stored');
				}

				continue;
			}

			refusals += outcome.type === 'refused' ? 1 : 0;
			this.keepOrGiveUp(batch, outcome.type === 'refused', refusals >= mostRefusals);
			// eslint-disable-next-line no-await-in-loop
			await sleep(retryMs);
		}

		this.isWriting = false;
	}

	/** While an append is without an answer for too long, what came after it is refused: it was not sent. */
	private async append(batch: readonly Entry[]): Promise<AppendOutcome> {
		this.askedAt = readSteadyClock();
		const timer = setTimeout(() => {
			this.refuseUnsent();
		}, silentMs);
		const outcome = await this.store.append(intakeStream, batch.map(entry => encodeIntake(entry.record)));
		clearTimeout(timer);
		this.askedAt = undefined;
		this.unansweredAt = outcome.type === 'unknown' ? readSteadyClock() : undefined;
		return outcome;
	}

	private refuseUnsent(): void {
		for (const entry of this.queue.splice(0)) {
			if (entry.isDoubtful) {
				this.queue.push(entry);
			} else {
				entry.resolve('refused');
			}
		}
	}

	/** What may be stored is repeated until its deadline; what surely is not is refused soon. */
	private keepOrGiveUp(batch: readonly Entry[], isRefused: boolean, isHopeless: boolean): void {
		const now = readSteadyClock();
		const kept: Entry[] = [];
		for (const entry of batch) {
			entry.isDoubtful ||= !isRefused;
			if (!entry.isDoubtful && isHopeless) {
				entry.resolve('refused');
			} else if (now + retryMs >= entry.deadline) {
				entry.resolve(entry.isDoubtful ? 'unknown' : 'refused');
			} else {
				kept.push(entry);
			}
		}

		this.queue.unshift(...kept);
	}
}
