/** Faults of the model: calls that lose their answer or are carried out late, and reads that are old when they arrive. */
import type {SchedulerEvent} from '../events.js';
import type {ModelHost} from './model-hosts.js';
import type {ModelTime} from './model-time.js';

const answerTimeoutMs = 600;
const percentAll = 100;

/** How often, in percent, an answer is lost or an order carried out late; and how often a host or worker crashes. */
export type ModelFaults = {readonly lostPercent: number; readonly delayedPercent: number; readonly crashEveryMs: number};

export const noFaults: ModelFaults = {lostPercent: 0, delayedPercent: 0, crashEveryMs: Number.POSITIVE_INFINITY};

export type ModelStream = 'intake' | 'ledger';

/** How old, at most, the answer to a read is when it arrives, and how many records fit into one; for these streams. */
export type ReadFaults = {readonly oldestMs: number; readonly pageRecords: number; readonly streams: readonly ModelStream[]};

export const noReadFaults: ReadFaults = {oldestMs: 0, pageRecords: Number.POSITIVE_INFINITY, streams: []};

/** An event before it is given its instants. */
export type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;

export type PushEvent = (host: ModelHost, body: EventBody) => void;

export type ModelCallsOptions = {readonly time: ModelTime; readonly getFaults: () => ModelFaults; readonly push: PushEvent};

export class ModelCalls {
	static create(options: ModelCallsOptions): ModelCalls {
		return new ModelCalls(options);
	}

	private constructor(private readonly options: ModelCallsOptions) {}

	/** Carries something out after a delay and answers after another; either may go wrong. */
	call(host: ModelHost, execute: () => EventBody, unknown: EventBody): void {
		const {time, getFaults} = this.options;
		const {lostPercent, delayedPercent: latePercent} = getFaults();
		const dice = time.draw(1, percentAll);
		if (dice <= latePercent) {
			time.schedule(time.draw(2000, 12_000), () => {
				execute();
			});
			this.answer(host, answerTimeoutMs, unknown);
			return;
		}

		const {life} = host;
		time.schedule(time.draw(1, 10), () => {
			const event = execute();
			if (dice <= latePercent + lostPercent) {
				this.answer(host, answerTimeoutMs, unknown, life);
			} else {
				this.answer(host, time.draw(1, 10), event, life);
			}
		});
	}

	private answer(host: ModelHost, inMs: number, event: EventBody, life = host.life): void {
		this.options.time.schedule(inMs, () => {
			if (host.isUp && host.life === life) {
				this.options.push(host, event);
			}
		});
	}
}
