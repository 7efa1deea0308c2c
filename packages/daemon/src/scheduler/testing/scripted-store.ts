/** For tests of one scheduler host: a store with scripted reads, and a host that never leads. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Instant, JobId} from '@rhubarblever/core';
import type {FleetConfig, JobDefinition, SchedulerSettings} from '@rhubarblever/core/scheduler';
import {BoundedOutput} from '../bounded-output.js';
import {encodeIntake, intakeStream, ledgerStream} from '../codec.js';
import {DecisionLog} from '../decision-log.js';
import type {KeySettings} from '../key-check.js';
import {createMetrics} from '../metrics.js';
import type {
	AppendConditions, AppendOutcome, PlatformCodec, KeyedRecord, KeyedStore, LoadOutcome, NewRecord, ReadOutcome, SchedulerPorts, StoreLimits,
} from '../ports.js';
import {SchedulerHost} from '../scheduler-host.js';

/** Required bound: every host knows a job this long after its acceptance. */
export const visibleMs = 3000;
/** Required bound: a configuration is in force on every host this long after its acknowledgement. */
export const configApplyMs = 2000;
export const operatorStream = 'operator';

/** Limits of a store that takes all that the tests append, in bytes. */
export const storeLimits: StoreLimits = {maxRecordBytes: 262_144, maxAppendBytes: 2_097_152};

type Read = (fromOffset: number, waitMs: number) => Promise<ReadOutcome>;

/** A test double of the store with scripted reads of the intake stream; the operators' stream holds a configuration, the other streams are empty. */
export class ScriptedStore implements KeyedStore {
	static create(): ScriptedStore {
		return new ScriptedStore();
	}

	readonly limits = storeLimits;
	loadIntake: () => Promise<LoadOutcome>;
	readIntake: Read;
	readLedger: Read;
	loadOperator: () => Promise<LoadOutcome>;
	readOperator: Read;
	/** Number of claims of leadership. */
	claims = 0;
	/** While false, reads of the operators' stream fail. */
	isOperatorStreamReachable = true;

	private constructor() {
		this.loadOperator = async () => createLoad([{offset: 0, key: 'config', value: new Uint8Array(1)}]);
		this.readOperator = async (fromOffset, waitMs) => {
			await sleep(waitMs);
			return createRead([], fromOffset, fromOffset);
		};

		this.loadIntake = async () => createLoad([]);
		this.readIntake = async fromOffset => createRead([], fromOffset, fromOffset);
		this.readLedger = async (fromOffset, waitMs) => {
			await sleep(waitMs);
			return createRead([], fromOffset, fromOffset);
		};
	}

	/** Refuses every append, so that no host becomes the leader. */
	async append(_stream: string, _records: readonly NewRecord[], {at}: AppendConditions = {}): Promise<AppendOutcome> {
		this.claims += at === undefined ? 0 : 1;
		return {type: 'refused'};
	}

	async read(stream: string, fromOffset: number, waitMs: number): Promise<ReadOutcome> {
		if (stream === intakeStream) {
			return this.readIntake(fromOffset, waitMs);
		}

		if (stream === ledgerStream) {
			return this.readLedger(fromOffset, waitMs);
		}

		if (stream === operatorStream && this.isOperatorStreamReachable) {
			return this.readOperator(fromOffset, waitMs);
		}

		await sleep(waitMs);
		return stream === operatorStream ? {type: 'unavailable'} : createRead([], fromOffset, fromOffset);
	}

	async listNewest(stream: string): Promise<LoadOutcome> {
		if (stream === intakeStream) {
			return this.loadIntake();
		}

		return stream === operatorStream ? this.loadOperator() : createLoad([]);
	}
}

export function createLoad(records: readonly KeyedRecord[], nextOffset = records.length): LoadOutcome {
	return {
		type: 'loaded', records, nextOffset, pages: 1,
	};
}

export function createRead(records: readonly KeyedRecord[], fromOffset: number, end: number): ReadOutcome {
	return {
		type: 'read', records, nextOffset: fromOffset + records.length, end,
	};
}

export function createJobRecord(offset: number, jobId: string): KeyedRecord {
	const job: JobDefinition = {
		jobId: jobId as JobId, queue: 'replans', pool: 'trucks', spec: '', steps: [], runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0,
	};
	return {offset, ...encodeIntake({type: 'job', job})};
}

export const config: FleetConfig = {
	version: 1,
	queues: [{
		name: 'replans', host: 'h', pathPrefix: '/replans/', pool: 'trucks', priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600, timeoutMs: 3000, advice: undefined,
	}],
	pools: [],
};

const codec: PlatformCodec = {
	operatorStream,
	workerStream: 'workers',
	statusStream: 'status',
	configKey: 'config',
	/** A record of one byte stands for the configuration above. */
	decodeConfig: ({value}) => value && value.length > 1 ? JSON.parse(Buffer.from(value).toString()) as FleetConfig : config,
	decodeWave: () => undefined,
	decodeWorker: () => undefined,
	encodeWaveStatus: () => ({key: 'w', value: undefined}),
	decodeWaveStatus: () => undefined,
};

export const settings: SchedulerSettings = {
	holder: 'h', claimJitter: 0, capacityShortfall: 0, firstSequence: 1,
	moveMs: 1500, upkeepMs: 2000, orderLeaseMs: 3000, maxLeaseMs: 10_000, stopMs: 200, statusRetentionMs: 120_000, remoteRackFactor: 2, maxRecordBytes: storeLimits.maxRecordBytes,
};

/** Starts a host with the scripted store; the test closes it. */
export function startHost(store: KeyedStore, changes: Partial<SchedulerSettings> = {}, keys?: KeySettings): SchedulerHost {
	// The host sends no orders: the store refuses its claims, so it never becomes the leader.
	const ports = {store, codec} as unknown as SchedulerPorts;
	const log = DecisionLog.create({
		host: 'h', output: BoundedOutput.create((_chunk, done) => {
			done();
		}),
	});
	const host = SchedulerHost.create({
		ports, settings: {...settings, ...changes}, visibleMs, configApplyMs, log, metrics: createMetrics(), ...(keys && {keys}),
	});
	host.start();
	return host;
}
