/** Faults of the model: calls whose answer is lost or that are carried out late, and reads that are stale when they arrive. */
import type {SchedulerEvent} from '../events.js';
import type {ModelHost} from './model-hosts.js';
import type {ModelTime} from './model-time.js';

const answerTimeoutMs = 600;
const heldCallStepMs = 20;
const percentAll = 100;

/** The percentage of answers that are lost and of calls that are carried out late, the interval of crashes of hosts and workers, and that at which a worker's capacity changes. */
export type ModelFaults = {
	readonly lostPercent: number; readonly delayedPercent: number; readonly crashEveryMs: number; readonly capacityEveryMs?: number;
	/** The percentage of lists of runs that do not tell the birth of the process. */
	readonly untoldBirthPercent?: number;
	/** A call to a worker that is down reaches its next process if that is there before the call times out. */
	readonly areCallsHeld?: boolean;
	/** The clock of a worker begins at any value with each process; at 0 otherwise. */
	readonly hasAnyClocks?: boolean;
};

export const noFaults: ModelFaults = {lostPercent: 0, delayedPercent: 0, crashEveryMs: Number.POSITIVE_INFINITY};

export type ModelStream = 'intake' | 'ledger';

/** The maximum staleness of a read when its answer arrives, and the number of records per answer, for the given streams. */
export type ReadFaults = {readonly maxStalenessMs: number; readonly pageRecords: number; readonly streams: readonly ModelStream[]};

export const noReadFaults: ReadFaults = {maxStalenessMs: 0, pageRecords: Number.POSITIVE_INFINITY, streams: []};

/** An event without its timestamps. */
export type EventBody = SchedulerEvent extends infer Event ? (Event extends SchedulerEvent ? Omit<Event, 'at' | 'wallAt'> : never) : never;

export type PushEvent = (host: ModelHost, body: EventBody) => void;

export type ModelCallsOptions = {readonly time: ModelTime; readonly getFaults: () => ModelFaults; readonly push: PushEvent};

export class ModelCalls {
	static create(options: ModelCallsOptions): ModelCalls {
		return new ModelCalls(options);
	}

	private constructor(private readonly options: ModelCallsOptions) {}

	/** Executes a call after one delay and answers after another; the execution may be late, and the answer may be lost. `execute` learns whether it is late, and returns undefined if nobody is there. */
	call(host: ModelHost, execute: (isLate: boolean) => EventBody | undefined, unknown: EventBody): void {
		const {time, getFaults} = this.options;
		const {lostPercent, delayedPercent} = getFaults();
		const dice = time.draw(1, percentAll);
		if (dice <= delayedPercent) {
			time.schedule(time.draw(2000, 12_000), () => {
				execute(true);
			});
			this.answer(host, answerTimeoutMs, unknown);
			return;
		}

		const {incarnation} = host;
		time.schedule(time.draw(1, 10), () => {
			const event = execute(false);
			if (event === undefined && this.options.getFaults().areCallsHeld) {
				this.hold(host, execute, unknown, time.now + answerTimeoutMs);
			} else if (dice <= delayedPercent + lostPercent) {
				this.answer(host, answerTimeoutMs, unknown, incarnation);
			} else {
				this.answer(host, time.draw(1, 10), event ?? unknown, incarnation);
			}
		});
	}

	/** Repeats a call that reached nobody until it times out. */
	private hold(host: ModelHost, execute: (isLate: boolean) => EventBody | undefined, unknown: EventBody, until: number): void {
		const {time} = this.options;
		const {incarnation} = host;
		time.schedule(heldCallStepMs, () => {
			const isOver = time.now >= until || !host.isUp || host.incarnation !== incarnation;
			const event = isOver ? unknown : execute(false);
			if (event === undefined) {
				this.hold(host, execute, unknown, until);
			} else {
				this.answer(host, time.draw(1, 10), event, incarnation);
			}
		});
	}

	private answer(host: ModelHost, inMs: number, event: EventBody, incarnation = host.incarnation): void {
		this.options.time.schedule(inMs, () => {
			if (host.isUp && host.incarnation === incarnation) {
				this.options.push(host, event);
			}
		});
	}
}
