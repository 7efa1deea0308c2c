/** Turns the records of the streams that a host reads into events of the scheduler. Records that cannot be used are logged and passed over. */
import {
	describeError, type FleetConfig, type SteadyMs, type WorkerEntry,
} from '@rhubarblever/core/scheduler';
import {
	decodeIntake, decodeLedger, intakeStream, ledgerStream,
} from './codec.js';
import type {DecisionLog} from './decision-log.js';
import type {SchedulerMetrics} from './metrics.js';
import type {UntimedEvent} from './effect-runner.js';
import type {KeyedRecord, PlatformCodec} from './ports.js';

export type RecordEventsOptions = {
	readonly codec: PlatformCodec;
	readonly log: DecisionLog;
	readonly metrics: SchedulerMetrics;
	/** Version of the configuration in force. */
	readonly getConfigVersion: () => number | undefined;
	readonly pushEvent: (event: UntimedEvent) => void;
};

export class RecordEvents {
	static create(options: RecordEventsOptions): RecordEvents {
		return new RecordEvents(options);
	}

	private readonly workerEntries = new Map<string, WorkerEntry>();
	private readonly completedWaves = new Set<number>();
	/** Newest version of the configuration in the operators' stream since it was loaded; infinite if that version could not be read. */
	private storedVersion = Number.NEGATIVE_INFINITY;
	/** Version that was in force when the operators' stream was loaded. */
	private versionAtLoad: number | undefined;

	private constructor(private readonly options: RecordEventsOptions) {}

	/**
	 * False if the operators' stream, when it was loaded, did not hold the configuration in force, and has held none that
	 * replaces it since: the store has lost its history, perhaps with later versions that this host has not read.
	 */
	hasStoredConfig(): boolean {
		return this.storedVersion > Number.NEGATIVE_INFINITY && this.storedVersion >= (this.versionAtLoad ?? this.storedVersion);
	}

	/** `isReloaded`: the records are the newest of each key of the whole stream. */
	applyOperatorRecords(records: readonly KeyedRecord[], isReloaded: boolean): void {
		const {codec} = this.options;
		if (isReloaded) {
			this.storedVersion = Number.NEGATIVE_INFINITY;
			this.versionAtLoad = this.options.getConfigVersion();
		}

		for (const record of records) {
			const config: FleetConfig | undefined = codec.decodeConfig(record);
			if (record.value && record.key === codec.configKey) {
				this.storedVersion = Math.max(this.storedVersion, config?.version ?? Number.POSITIVE_INFINITY);
			}

			if (config) {
				this.options.pushEvent({type: 'config/read', config});
			}

			const definition = codec.decodeWave(record);
			if (definition) {
				this.options.pushEvent({type: 'wave/published', definition, isCompleted: this.completedWaves.has(definition.wave)});
			}

			if (record.value && !config && !definition) {
				this.warnUnusable(codec.operatorStream, record, undefined);
			}
		}

		if (isReloaded && !this.hasStoredConfig()) {
			this.options.log.warn('config-not-stored', {versionInForce: this.versionAtLoad});
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
			this.warnUnusable(stream, record, describeError(error));
			return undefined;
		}
	}

	private warnUnusable(stream: string, {key, offset}: KeyedRecord, reason: string | undefined): void {
		this.options.metrics.decisions.inc({event: 'record-unusable'});
		this.options.log.warn('record-unusable', {
			stream, key, offset, reason,
		});
	}
}
