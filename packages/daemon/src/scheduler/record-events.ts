/** Turns the records of the streams that a host reads into events of the scheduler. Records that cannot be used are logged and passed over. */
import {
	describeError, type FleetConfig, type SteadyMs, type WorkerEntry,
} from '@rhubarblever/core/scheduler';
import {
	decodeIntake, decodeLedger, intakeStream, ledgerStream,
} from './codec.js';
import type {DecisionLog} from './decision-log.js';
import type {UntimedEvent} from './effect-runner.js';
import type {KeyedRecord, PlatformCodec} from './ports.js';

export type RecordEventsOptions = {
	readonly codec: PlatformCodec;
	readonly log: DecisionLog;
	readonly pushEvent: (event: UntimedEvent) => void;
};

export class RecordEvents {
	static create(options: RecordEventsOptions): RecordEvents {
		return new RecordEvents(options);
	}

	private readonly workerEntries = new Map<string, WorkerEntry>();
	private readonly completedWaves = new Set<number>();

	private constructor(private readonly options: RecordEventsOptions) {}

	applyOperatorRecords(records: readonly KeyedRecord[]): void {
		const {codec} = this.options;
		for (const record of records) {
			const config: FleetConfig | undefined = codec.decodeConfig(record);
			if (config) {
				this.options.pushEvent({type: 'config/read', config});
			}

			const definition = codec.decodeWave(record);
			if (definition) {
				this.options.pushEvent({type: 'wave/published', definition, isCompleted: this.completedWaves.has(definition.wave)});
			}

			if (record.value && !config && !definition) {
				this.options.log.warn('record-unusable', {stream: codec.operatorStream, key: record.key, offset: record.offset});
			}
		}
	}

	/** `completeAt`: all records that were stored before it have been read. */
	applyIntakeRecords(records: readonly KeyedRecord[], completeAt: SteadyMs | undefined): void {
		const decoded = records.flatMap(record => this.decodeRecord(intakeStream, record, decodeIntake) ?? []);
		this.options.pushEvent({type: 'intake/read', records: decoded, completeAt});
	}

	applyLedgerRecords(type: 'ledger/loaded' | 'ledger/read', records: readonly KeyedRecord[], nextOffset: number): void {
		// Each record of the ledger holds the whole state of its key, so only the newest counts.
		const newest = new Map(records.map(record => [record.key, record]));
		const entries = [...newest.values()].toSorted((a, b) => a.offset - b.offset).flatMap(record => {
			const decoded = this.decodeRecord(ledgerStream, record, decodeLedger);
			return decoded ? [{offset: record.offset, record: decoded}] : [];
		});
		this.options.pushEvent({type, entries, nextOffset});
	}

	/** `isReloaded`: the records are all that the registry holds. */
	applyWorkerRecords(records: readonly KeyedRecord[], isReloaded: boolean): void {
		if (isReloaded) {
			this.workerEntries.clear();
		}

		if (records.length === 0) {
			return;
		}

		for (const record of records) {
			const entry = this.options.codec.decodeWorker(record);
			if (entry) {
				this.workerEntries.set(record.key, entry);
			} else {
				this.workerEntries.delete(record.key);
			}
		}

		this.options.pushEvent({type: 'workers/listed', workers: [...this.workerEntries.values()], isReloaded});
	}

	applyStatusRecords(records: readonly KeyedRecord[]): void {
		for (const record of records) {
			const status = this.options.codec.decodeWaveStatus(record);
			if (status?.isCompleted) {
				this.completedWaves.add(status.wave);
			}
		}
	}

	/** Returns undefined for a record that this version does not know or that cannot be unpacked. */
	private decodeRecord<Decoded>(stream: string, record: KeyedRecord, decode: (record: KeyedRecord) => Decoded | undefined): Decoded | undefined {
		try {
			return decode(record);
		} catch (error) {
			this.options.log.warn('record-unusable', {
				stream, key: record.key, offset: record.offset, reason: describeError(error),
			});
			return undefined;
		}
	}
}
