/** A model of the store for tests: one ledger, whose appends are fenced by the writer's epoch, and one intake. */
import type {ClaimOutcome, CommitOutcome, LedgerEntry} from '../events.js';
import type {IntakeRecord, LedgerRecord} from '../types.js';

/** One page of the newest records per key, in the order of the keys. The next page begins after `lastKey`; `end` is the stream's length at that time. */
export type NewestPage<Item> = {readonly items: readonly Item[]; readonly lastKey: string | undefined; readonly end: number};

const removalTypes = new Set<string>(['job-removed', 'cancel-removed', 'progress-removed', 'progress-part-removed']);

export class ModelStore {
	static create(): ModelStore {
		return new ModelStore();
	}

	/** A batch with a larger record is refused; the model takes the length of the record as JSON for its size. */
	maxRecordBytes = Number.POSITIVE_INFINITY;
	/** Batches that were refused for the size of a record. */
	oversized = 0;
	readonly ledger: LedgerEntry[] = [];
	readonly intake: IntakeRecord[] = [];
	private epoch = 0;
	private lastSequence = 0;

	/** Appends a claim if the ledger still ends at the offset that the claimant expects. */
	claim(at: number, token: number, sequence: number, holder: string): ClaimOutcome {
		if (this.epoch === token && this.lastSequence === sequence) {
			return 'granted';
		}

		if (this.ledger.length !== at || token < this.epoch) {
			return 'lost';
		}

		this.epoch = token;
		this.lastSequence = sequence;
		this.add([{type: 'lease', lease: {holder, token, isReleased: false}}]);
		return 'granted';
	}

	/** Appends each batch of a leader once, in the order of the sequence numbers. */
	append(token: number, sequence: number, records: readonly LedgerRecord[]): CommitOutcome {
		if (token !== this.epoch) {
			return 'fenced';
		}

		if (sequence <= this.lastSequence) {
			return 'stored';
		}

		if (sequence !== this.lastSequence + 1) {
			return 'fenced';
		}

		if (records.some(record => JSON.stringify(record).length > this.maxRecordBytes)) {
			this.oversized++;
			return 'refused';
		}

		this.lastSequence = sequence;
		this.add(records);
		return 'stored';
	}

	listNewestIntake(after: string | undefined, maxItems: number): NewestPage<IntakeRecord> {
		return listNewest(this.intake, record => record, after, maxItems);
	}

	listNewestLedger(after: string | undefined, maxItems: number): NewestPage<LedgerEntry> {
		return listNewest(this.ledger, entry => entry.record, after, maxItems);
	}

	private add(records: readonly LedgerRecord[]): void {
		for (const record of records) {
			this.ledger.push({offset: this.ledger.length, record: structuredClone(record)});
		}
	}
}

function listNewest<Item>(stream: readonly Item[], getRecord: (item: Item) => IntakeRecord | LedgerRecord, after: string | undefined, maxItems: number): NewestPage<Item> {
	const newest = new Map<string, Item>();
	for (const item of stream) {
		const record = getRecord(item);
		const key = getKey(record);
		if (removalTypes.has(record.type)) {
			newest.delete(key);
		} else {
			newest.set(key, item);
		}
	}

	const keys = [...newest.keys()].filter(key => after === undefined || key > after).toSorted((a, b) => a < b ? -1 : 1);
	const page = keys.slice(0, maxItems);
	return {items: page.map(key => newest.get(key)!), lastKey: page.length < keys.length ? page.at(-1) : undefined, end: stream.length};
}

function getKey(record: IntakeRecord | LedgerRecord): string {
	const kind = record.type.replace('-removed', '');
	if (record.type === 'job') {
		return `${kind}:${record.job.jobId}`;
	}

	const part = 'part' in record ? `/${record.part}` : '';
	return 'jobId' in record ? `${kind}:${record.jobId}${part}` : `${kind}:`;
}
