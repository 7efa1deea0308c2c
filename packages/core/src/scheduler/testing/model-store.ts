/** A model of the store for tests: one ledger with writers' epochs, one intake. */
import type {ClaimOutcome, CommitOutcome, LedgerEntry} from '../events.js';
import type {IntakeRecord, LedgerRecord} from '../types.js';

export class ModelStore {
	static create(): ModelStore {
		return new ModelStore();
	}

	readonly ledger: LedgerEntry[] = [];
	readonly intake: IntakeRecord[] = [];
	private epoch = 0;
	private lastSequence = 0;

	/** Appends a claim if the ledger ends where the claimant thinks. */
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

	/** Appends a leader's batch once, in the order of its sequence numbers. */
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

		this.lastSequence = sequence;
		this.add(records);
		return 'stored';
	}

	private add(records: readonly LedgerRecord[]): void {
		for (const record of records) {
			this.ledger.push({offset: this.ledger.length, record: structuredClone(record)});
		}
	}
}
