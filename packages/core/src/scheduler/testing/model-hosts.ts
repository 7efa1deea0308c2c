/** Entry hosts of the model, and how they follow the store. */
import type {SchedulerState} from '../state.js';
import type {IntakeRecord} from '../types.js';
import type {LedgerEntry} from '../events.js';
import type {ModelStream, PushEvent, ReadFaults} from './model-faults.js';
import type {ModelStore, NewestPage} from './model-store.js';
import type {ModelTime} from './model-time.js';

/** How far a host has read a stream; without an offset it loads all of it first. */
export type StreamPlace = {offset: number | undefined; isReading: boolean; generation: number};

export type ModelHost = {
	state: SchedulerState;
	isUp: boolean;
	life: number;
	readonly intake: StreamPlace;
	readonly ledger: StreamPlace;
	nextIntakeAt: number;
	nextReadAt: number;
	nextTickAt: number;
	readonly index: number;
};

type ReadOptions = {readonly time: ModelTime; readonly store: ModelStore; readonly getFaults: () => ReadFaults; readonly push: PushEvent};

/** A read that is under way: whether its answer is still of use, and what is done with it. */
type UnderWay = {readonly place: StreamPlace; readonly isWanted: () => boolean};

export function createPlace(): StreamPlace {
	return {offset: undefined, isReading: false, generation: 0};
}

/** Forgets the place: the next read begins with everything, and what is under way is of no use. */
export function resetPlace(place: StreamPlace): void {
	place.offset = undefined;
	place.generation++;
}

export class ModelReads {
	static create(options: ReadOptions): ModelReads {
		return new ModelReads(options);
	}

	private constructor(private readonly options: ReadOptions) {}

	/** Jobs and cancels that are new to a host. */
	readIntake(host: ModelHost): void {
		const {store, time} = this.options;
		const {intake} = host;
		if (!this.isLate('intake')) {
			this.readIntakeAtOnce(host);
			return;
		}

		const underWay = this.openRead(host, intake, () => true);
		if (!underWay) {
			return;
		}

		const askedAt = time.now;
		if (intake.offset === undefined) {
			this.loadPages(underWay, after => store.listNewestIntake(after, this.options.getFaults().pageRecords), (records, end) => {
				this.takeIntake(host, records, end, askedAt);
			});
			return;
		}

		const from = intake.offset;
		const records = store.intake.slice(from, from + this.options.getFaults().pageRecords);
		const isWhole = from + records.length === store.intake.length;
		this.answerLate(underWay, () => {
			this.takeIntake(host, records, from + records.length, isWhole ? askedAt : undefined);
		});
	}

	/** What the leader wrote; the first time, and after a loss of the place, all of it. */
	readLedger(host: ModelHost): void {
		const {store, push} = this.options;
		const {ledger} = host;
		if (!this.isLate('ledger')) {
			this.readLedgerAtOnce(host);
			return;
		}

		const underWay = this.openRead(host, ledger, () => host.state.leadership.role !== 'leader');
		if (!underWay) {
			return;
		}

		if (ledger.offset === undefined) {
			this.loadPages(underWay, after => store.listNewestLedger(after, this.options.getFaults().pageRecords), (entries, end) => {
				ledger.offset = end;
				push(host, {type: 'ledger/loaded', entries, nextOffset: end});
			});
			return;
		}

		const from = ledger.offset;
		const entries = store.ledger.slice(from, from + this.options.getFaults().pageRecords);
		this.answerLate(underWay, () => {
			ledger.offset = from + entries.length;
			push(host, {type: 'ledger/read', entries, nextOffset: from + entries.length});
		});
	}

	private readIntakeAtOnce(host: ModelHost): void {
		if (!host.intake.isReading) {
			const {time, store: {intake}} = this.options;
			this.takeIntake(host, intake.slice(host.intake.offset ?? 0), intake.length, time.now);
		}
	}

	private readLedgerAtOnce(host: ModelHost): void {
		const {store, push} = this.options;
		const place = host.ledger;
		if (place.isReading) {
			return;
		}

		const type = place.offset === undefined ? 'ledger/loaded' : 'ledger/read';
		const entries: LedgerEntry[] = store.ledger.slice(place.offset ?? 0);
		place.offset = store.ledger.length;
		push(host, {type, entries, nextOffset: store.ledger.length});
	}

	/** `completeAt`: all that was stored before it is read with these records. */
	private takeIntake(host: ModelHost, records: readonly IntakeRecord[], nextOffset: number, completeAt: number | undefined): void {
		host.intake.offset = nextOffset;
		this.options.push(host, {type: 'intake/read', records, completeAt});
	}

	private isLate(stream: ModelStream): boolean {
		return this.options.getFaults().streams.includes(stream);
	}

	/** Undefined while the read before is under way. */
	private openRead(host: ModelHost, place: StreamPlace, isWantedByRole: () => boolean): UnderWay | undefined {
		if (place.isReading) {
			return undefined;
		}

		place.isReading = true;
		const {generation} = place;
		const {life} = host;
		return {place, isWanted: () => host.isUp && host.life === life && place.generation === generation && isWantedByRole()};
	}

	/** The content is fixed now; it arrives later. */
	private answerLate({place, isWanted}: UnderWay, deliver: () => void): void {
		const {time, getFaults} = this.options;
		time.schedule(time.draw(0, getFaults().oldestMs), () => {
			place.isReading = false;
			if (isWanted()) {
				deliver();
			}
		});
	}

	/** Each page is as of its own moment; reading goes on where the stream ended at the first. */
	private loadPages<Item>(underWay: UnderWay, list: (after: string | undefined) => NewestPage<Item>, deliver: (items: readonly Item[], end: number) => void): void {
		const {time, getFaults} = this.options;
		const items: Item[] = [];
		const loadNext = (after: string | undefined, firstEnd: number | undefined) => {
			const page = list(after);
			const end = firstEnd ?? page.end;
			items.push(...page.items);
			if (page.lastKey === undefined) {
				this.answerLate(underWay, () => {
					deliver(items, end);
				});
				return;
			}

			time.schedule(time.draw(0, getFaults().oldestMs), () => {
				loadNext(page.lastKey, end);
			});
		};

		loadNext(undefined, undefined);
	}
}
