/** Entry hosts of the model, and how they read the streams of the store. */
import type {SchedulerState} from '../state.js';
import type {IntakeRecord} from '../types.js';
import type {LedgerEntry} from '../events.js';
import type {ModelStream, PushEvent, ReadFaults} from './model-faults.js';
import type {ModelStore, NewestPage} from './model-store.js';
import type {ModelTime} from './model-time.js';

/** A host's position in a stream; without an offset the host first loads the whole stream. */
export type StreamCursor = {offset: number | undefined; isReading: boolean; generation: number};

export type ModelHost = {
	state: SchedulerState;
	isUp: boolean;
	incarnation: number;
	readonly intake: StreamCursor;
	readonly ledger: StreamCursor;
	nextIntakeAt: number;
	nextReadAt: number;
	nextTickAt: number;
	readonly index: number;
};

type ReadOptions = {readonly time: ModelTime; readonly store: ModelStore; readonly getFaults: () => ReadFaults; readonly push: PushEvent};

/** A read in progress; its answer is discarded if it is no longer wanted when it arrives. */
type PendingRead = {readonly cursor: StreamCursor; readonly isWanted: () => boolean};

export function createCursor(): StreamCursor {
	return {offset: undefined, isReading: false, generation: 0};
}

/** Resets a cursor, so that the next read loads the whole stream and the answer to a read in progress is discarded. */
export function resetCursor(cursor: StreamCursor): void {
	cursor.offset = undefined;
	cursor.generation++;
}

export class ModelReads {
	static create(options: ReadOptions): ModelReads {
		return new ModelReads(options);
	}

	private constructor(private readonly options: ReadOptions) {}

	/** Delivers jobs and cancels that a host has not read yet. */
	readIntake(host: ModelHost): void {
		const {store, time} = this.options;
		const {intake} = host;
		if (!this.isStale('intake')) {
			this.readIntakeAtOnce(host);
			return;
		}

		const pendingRead = this.startRead(host, intake, () => true);
		if (!pendingRead) {
			return;
		}

		const requestedAt = time.now;
		if (intake.offset === undefined) {
			this.loadPages(pendingRead, after => store.listNewestIntake(after, this.options.getFaults().pageRecords), (records, end) => {
				this.applyIntake(host, records, end, requestedAt);
			});
			return;
		}

		const from = intake.offset;
		const records = store.intake.slice(from, from + this.options.getFaults().pageRecords);
		const isWhole = from + records.length === store.intake.length;
		this.answerLate(pendingRead, () => {
			this.applyIntake(host, records, from + records.length, isWhole ? requestedAt : undefined);
		});
	}

	/** Delivers new records of the ledger; the first time and after a reset of the cursor the whole ledger. */
	readLedger(host: ModelHost): void {
		const {store, push} = this.options;
		const {ledger} = host;
		if (!this.isStale('ledger')) {
			this.readLedgerAtOnce(host);
			return;
		}

		const pendingRead = this.startRead(host, ledger, () => host.state.leadership.role !== 'leader');
		if (!pendingRead) {
			return;
		}

		if (ledger.offset === undefined) {
			this.loadPages(pendingRead, after => store.listNewestLedger(after, this.options.getFaults().pageRecords), (entries, end) => {
				ledger.offset = end;
				push(host, {type: 'ledger/loaded', entries, nextOffset: end});
			});
			return;
		}

		const from = ledger.offset;
		const entries = store.ledger.slice(from, from + this.options.getFaults().pageRecords);
		this.answerLate(pendingRead, () => {
			ledger.offset = from + entries.length;
			push(host, {type: 'ledger/read', entries, nextOffset: from + entries.length});
		});
	}

	private readIntakeAtOnce(host: ModelHost): void {
		if (!host.intake.isReading) {
			const {time, store: {intake}} = this.options;
			this.applyIntake(host, intake.slice(host.intake.offset ?? 0), intake.length, time.now);
		}
	}

	private readLedgerAtOnce(host: ModelHost): void {
		const {store, push} = this.options;
		const cursor = host.ledger;
		if (cursor.isReading) {
			return;
		}

		const type = cursor.offset === undefined ? 'ledger/loaded' : 'ledger/read';
		const entries: LedgerEntry[] = store.ledger.slice(cursor.offset ?? 0);
		cursor.offset = store.ledger.length;
		push(host, {type, entries, nextOffset: store.ledger.length});
	}

	/** With these records the host has read everything that was stored before `completeAt`. */
	private applyIntake(host: ModelHost, records: readonly IntakeRecord[], nextOffset: number, completeAt: number | undefined): void {
		host.intake.offset = nextOffset;
		this.options.push(host, {type: 'intake/read', records, completeAt});
	}

	private isStale(stream: ModelStream): boolean {
		return this.options.getFaults().streams.includes(stream);
	}

	/** Returns undefined while an earlier read is in progress. */
	private startRead(host: ModelHost, cursor: StreamCursor, isWantedByRole: () => boolean): PendingRead | undefined {
		if (cursor.isReading) {
			return undefined;
		}

		cursor.isReading = true;
		const {generation} = cursor;
		const {incarnation} = host;
		return {cursor, isWanted: () => host.isUp && host.incarnation === incarnation && cursor.generation === generation && isWantedByRole()};
	}

	/** Delivers an answer after a delay; its content is as of now. */
	private answerLate({cursor, isWanted}: PendingRead, deliver: () => void): void {
		const {time, getFaults} = this.options;
		time.schedule(time.draw(0, getFaults().maxStalenessMs), () => {
			cursor.isReading = false;
			if (isWanted()) {
				deliver();
			}
		});
	}

	/** Loads all pages, each as of its own time; later reads continue from the end that the stream had at the first page. */
	private loadPages<Item>(pendingRead: PendingRead, list: (after: string | undefined) => NewestPage<Item>, deliver: (items: readonly Item[], end: number) => void): void {
		const {time, getFaults} = this.options;
		const items: Item[] = [];
		const loadNext = (after: string | undefined, firstEnd: number | undefined) => {
			const page = list(after);
			const end = firstEnd ?? page.end;
			items.push(...page.items);
			if (page.lastKey === undefined) {
				this.answerLate(pendingRead, () => {
					deliver(items, end);
				});
				return;
			}

			time.schedule(time.draw(0, getFaults().maxStalenessMs), () => {
				loadNext(page.lastKey, end);
			});
		};

		loadNext(undefined, undefined);
	}
}
