/** Encodes and decodes the scheduler's records in the store: the key is `<kind>:<id>`, the value is packed with msgpackr. */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {Instant, JobId} from '@rhubarblever/core';
import {
	convertToRanges, listOccurrences, type FleetConfig, type IntakeRecord, type JobDefinition, type JobProgress, type LeaseRecord, type LedgerRecord, type LoadFigures, type MachineId, type OccurrenceRange, type PartName, type ProgressRow, type RefusedJob, type RunTimesRow, type TaskCrash, type WaveProgress,
} from '@rhubarblever/core/scheduler';
import {Packr} from 'msgpackr';
import type {z} from 'zod';
import type {KeyedRecord, NewRecord} from './ports.js';
import {
	configSchema, jobSchema, leaseSchema, loadSchema, machineIdsSchema, progressSchema, refusalsSchema, rowsSchema, runTimesFormat, runTimesSchema, wavesSchema,
} from './record-schemas.js';

/** Stream of job submissions and cancellations, written by all entry hosts. */
export const intakeStream = 'keyed.intake';
/** Stream of job progress, waves, machine orders, the configuration and the leader's lease; only the leader writes to it. */
export const ledgerStream = 'keyed.ledger';

/** A larger configuration is compressed: with thousands of queues it could exceed a record of the store. Earlier versions read only the plain form. */
const maxPlainConfigBytes = 131_072;
/** A compressed record that holds more than this is not a configuration of ours. */
const maxConfigBytes = 67_108_864;

const packr = new Packr({useRecords: false});

/** Unpacks a value; throws an error that names the first field that is missing or of another type. */
function readValue<Value>(value: Uint8Array, schema: z.ZodType): Value {
	const unpacked: unknown = packr.unpack(value);
	const parsed = schema.safeParse(unpacked);
	if (!parsed.success) {
		throw new Error(`unusable field: ${parsed.error.issues[0]?.path.join('.') ?? ''}`);
	}

	return unpacked as Value;
}

type ParsedKey = {readonly kind: string; readonly id: string};

function parseKey(key: string): ParsedKey | undefined {
	const separator = key.indexOf(':');
	return separator <= 0 ? undefined : {kind: key.slice(0, separator), id: key.slice(separator + 1)};
}

type IntakeEncoders = {[K in IntakeRecord['type']]: (record: Extract<IntakeRecord, {type: K}>) => NewRecord};

const intakeEncoders: IntakeEncoders = {
	job: ({job}) => ({key: `job:${job.jobId}`, value: packr.pack(job)}),
	cancel: ({jobId}) => ({key: `cancel:${jobId}`, value: packr.pack(true)}),
	'job-removed': ({jobId}) => ({key: `job:${jobId}`, value: undefined}),
	'cancel-removed': ({jobId}) => ({key: `cancel:${jobId}`, value: undefined}),
	refusals: ({holder, jobs}) => ({key: `refusals:${holder}`, value: packr.pack(encodeRefusals(jobs))}),
	'refusals-removed': ({holder}) => ({key: `refusals:${holder}`, value: undefined}),
};

/** Ids, and how long before the latest instant each job was sent. */
type PackedRefusals = [latestAt: Instant, ids: JobId[], agesMs: number[]];

function encodeRefusals(jobs: readonly RefusedJob[]): PackedRefusals {
	const latestAt = Math.max(0, ...jobs.map(({sentAt}) => sentAt)) as Instant;
	return [latestAt, jobs.map(({jobId}) => jobId), jobs.map(({sentAt}) => Math.round(latestAt - sentAt))];
}

function decodeRefusals(value: Uint8Array): RefusedJob[] {
	const [latestAt, ids, agesMs] = readValue<PackedRefusals>(value, refusalsSchema);
	return ids.map((jobId, index) => ({jobId, sentAt: (latestAt - (agesMs[index] ?? 0)) as Instant}));
}

/** Encodes an intake record for the store. */
export function encodeIntake(record: IntakeRecord): NewRecord {
	return (intakeEncoders[record.type] as (record: IntakeRecord) => NewRecord)(record);
}

type Decoder<Decoded> = (id: string, value: Uint8Array | undefined) => Decoded;

const intakeDecoders: Readonly<Record<string, Decoder<IntakeRecord>>> = {
	job: (id, value) => value ? {type: 'job', job: readValue<JobDefinition>(value, jobSchema)} : {type: 'job-removed', jobId: id as JobId},
	cancel: (id, value) => value ? {type: 'cancel', jobId: id as JobId} : {type: 'cancel-removed', jobId: id as JobId},
	refusals: (id, value) => value ? {type: 'refusals', holder: id, jobs: decodeRefusals(value)} : {type: 'refusals-removed', holder: id},
};

/** Returns undefined for a record kind that this version does not know. */
export function decodeIntake(record: KeyedRecord): IntakeRecord | undefined {
	const key = parseKey(record.key);
	return key && intakeDecoders[key.kind]?.(key.id, record.value);
}

function formatPartKey(jobId: JobId, part: PartName): string {
	return `part:${jobId}/${part}`;
}

function encodeConfig(config: FleetConfig): NewRecord {
	const value = packr.pack(config);
	return value.length > maxPlainConfigBytes ? {key: 'config-deflated:', value: deflateRawSync(value)} : {key: 'config:', value};
}

type LedgerEncoders = {[K in LedgerRecord['type']]: (record: Extract<LedgerRecord, {type: K}>) => NewRecord};

const ledgerEncoders: LedgerEncoders = {
	lease: ({lease}) => ({key: 'lease:', value: packr.pack(lease)}),
	// An earlier version cannot read the rows of a job that has parts, and does not run it: without them it would start the job anew.
	progress: ({jobId, progress}) => ({
		key: `progress:${jobId}`, value: packr.pack([
			progress.phase,
			progress.rowsPerPart === undefined ? listOccurrences(progress.finishedOccurrences) : progress.finishedOccurrences,
			progress.finishedAt,
			progress.rowsPerPart ?? progress.rows.map(row => encodeRow(row)),
		]),
	}),
	'progress-removed': ({jobId}) => ({key: `progress:${jobId}`, value: undefined}),
	'progress-part': ({jobId, part, rows}) => ({key: formatPartKey(jobId, part), value: packr.pack(rows.map(row => encodeRow(row)))}),
	'progress-part-removed': ({jobId, part}) => ({key: formatPartKey(jobId, part), value: undefined}),
	waves: ({waves}) => ({key: 'waves:', value: packr.pack(waves)}),
	orders: ({machineIds}) => ({key: 'orders:', value: packr.pack(machineIds)}),
	config: ({config}) => encodeConfig(config),
	'run-times': ({rows}) => ({key: 'run-times:', value: packr.pack([runTimesFormat, rows.map(row => encodeRunTimesRow(row))])}),
	load: ({load}) => ({key: 'load:', value: packr.pack(load)}),
};

/** Encodes a ledger record for the store. */
export function encodeLedger(record: LedgerRecord): NewRecord {
	return (ledgerEncoders[record.type] as (record: LedgerRecord) => NewRecord)(record);
}

const ledgerDecoders: Readonly<Record<string, Decoder<LedgerRecord | undefined>>> = {
	lease: (_id, value) => value && {type: 'lease', lease: readValue<LeaseRecord>(value, leaseSchema)},
	progress: (id, value) => value ? readProgress(id as JobId, value) : {type: 'progress-removed', jobId: id as JobId},
	part: (id, value) => readPart(id, value),
	waves: (_id, value) => value && {type: 'waves', waves: readValue<WaveProgress[]>(value, wavesSchema)},
	orders: (_id, value) => value && {type: 'orders', machineIds: readValue<MachineId[]>(value, machineIdsSchema)},
	config: (_id, value) => value && {type: 'config', config: readValue<FleetConfig>(value, configSchema)},
	'config-deflated': (_id, value) => value && {type: 'config', config: readValue<FleetConfig>(inflateRawSync(value, {maxOutputLength: maxConfigBytes}), configSchema)},
	'run-times': (_id, value) => value && readRunTimes(value),
	load: (_id, value) => value && {type: 'load', load: readValue<LoadFigures>(value, loadSchema)},
};

type PackedCrash = [run: number, workerId: string, bornAt: number, at: TaskCrash['at'], isConfirmed: boolean, blame: TaskCrash['blame']];
type PackedRow = [occurrence: number, step: number, index: number, status: ProgressRow['status'], run: number, failures: number, workerId: string, workerBornAt: number, checkpoint: string, crashes?: PackedCrash[]];
/** The finished occurrences and the rows; or, if the rows are stored in parts, ranges of occurrences and how many rows each part holds. */
type PackedProgress = [phase: JobProgress['phase'], finishedOccurrences: Array<number | OccurrenceRange>, finishedAt: JobProgress['finishedAt'], rows: PackedRow[] | number];

function encodeRow(row: ProgressRow): PackedRow {
	const packed: PackedRow = [row.occurrence, row.step, row.index, row.status, row.run, row.failures, row.workerId, row.workerBornAt, row.checkpoint];
	if (row.crashes && row.crashes.length > 0) {
		// Without crashes, a row keeps the form of earlier versions.
		packed.push(row.crashes.map(crash => encodeCrash(crash)));
	}

	return packed;
}

function decodeRow([occurrence, step, index, status, run, failures, workerId, workerBornAt, checkpoint, crashes]: PackedRow): ProgressRow {
	return {
		occurrence, step, index, status, run, failures, workerId, workerBornAt, checkpoint, ...(crashes && {crashes: crashes.map(crash => decodeCrash(crash))}),
	};
}

function decodeCrash([run, workerId, bornAt, at, isConfirmed, blame]: PackedCrash): TaskCrash {
	return {
		run, workerId, bornAt, at, isConfirmed, blame,
	};
}

function encodeCrash({run, workerId, bornAt, at, isConfirmed, blame}: TaskCrash): PackedCrash {
	return [run, workerId, bornAt, at, isConfirmed, blame];
}

type PackedRunTimesRow = [queue: string, shape: number, runs: number, durationError: number, ratioError: number, durations: number[], ratios: number[]];
type PackedRunTimes = [format: number, rows: PackedRunTimesRow[]];

function encodeRunTimesRow(row: RunTimesRow): PackedRunTimesRow {
	return [row.queue, row.shape, row.runs, row.durationError, row.ratioError, [...row.durations], [...row.ratios]];
}

function decodeRunTimesRow([queue, shape, runs, durationError, ratioError, durations, ratios]: PackedRunTimesRow): RunTimesRow {
	return {
		queue, shape, runs, durationError, ratioError, durations, ratios,
	};
}

/** The rows are decoded when they are first asked for, and throw an error then if the record cannot be used: only a host that takes the lead needs them. */
function readRunTimes(value: Uint8Array): LedgerRecord {
	let decoded: RunTimesRow[] | undefined;
	return {
		type: 'run-times',
		get rows() {
			decoded ??= readValue<PackedRunTimes>(value, runTimesSchema)[1].map(row => decodeRunTimesRow(row));
			return decoded;
		},
	};
}

function decodeProgress(value: Uint8Array): JobProgress {
	const [phase, finishedOccurrences, finishedAt, rows] = readValue<PackedProgress>(value, progressSchema);
	const numbers = finishedOccurrences.filter(entry => typeof entry === 'number');
	const ranges = finishedOccurrences.filter(entry => typeof entry !== 'number');
	return {
		phase, finishedOccurrences: [...convertToRanges(numbers), ...ranges], finishedAt, ...(typeof rows === 'number' ? {rows: [], rowsPerPart: rows} : {rows: rows.map(row => decodeRow(row))}),
	};
}

/** As with learned run times, the rows are decoded when a host that takes the lead asks for them. */
function readPart(id: string, value: Uint8Array | undefined): LedgerRecord | undefined {
	const separator = id.indexOf('/');
	if (separator <= 0) {
		return undefined;
	}

	const [jobId, part] = [id.slice(0, separator) as JobId, id.slice(separator + 1)];
	if (!value) {
		return {type: 'progress-part-removed', jobId, part};
	}

	let decoded: ProgressRow[] | undefined;
	return {
		type: 'progress-part',
		jobId,
		part,
		get rows() {
			decoded ??= readValue<PackedRow[]>(value, rowsSchema).map(row => decodeRow(row));
			return decoded;
		},
	};
}

/** How the progress of each phase begins: the head of an array of four, then the phase as a string. */
const phaseHeads = (['queued', 'running', 'completed', 'failed'] as const).map(phase => {
	const headLength = 2 + phase.length;
	return {phase, head: Buffer.from(packr.pack([phase, [], 0, []]).subarray(0, headLength))};
});

/** Reads the phase, which comes first, without the rest; undefined if the value has another form. */
function readPhase(value: Uint8Array): JobProgress['phase'] | undefined {
	const start = Buffer.from(value.buffer, value.byteOffset, value.byteLength);
	return phaseHeads.find(({head}) => start.subarray(0, head.length).equals(head))?.phase;
}

/** Progress whose rows are decoded when they are first asked for: a host that does not lead needs the phase alone. */
class PackedJobProgress implements JobProgress {
	static create(phase: JobProgress['phase'], value: Uint8Array): PackedJobProgress {
		return new PackedJobProgress(phase, value);
	}

	private decoded: JobProgress | undefined;

	private constructor(readonly phase: JobProgress['phase'], private readonly value: Uint8Array) {}

	get finishedOccurrences(): JobProgress['finishedOccurrences'] {
		return this.decode().finishedOccurrences;
	}

	get finishedAt(): JobProgress['finishedAt'] {
		return this.decode().finishedAt;
	}

	get rows(): JobProgress['rows'] {
		return this.decode().rows;
	}

	get rowsPerPart(): JobProgress['rowsPerPart'] {
		return this.decode().rowsPerPart;
	}

	private decode(): JobProgress {
		this.decoded ??= decodeProgress(this.value);
		return this.decoded;
	}
}

function readProgress(jobId: JobId, value: Uint8Array): LedgerRecord {
	const phase = readPhase(value);
	return {type: 'progress', jobId, progress: phase === undefined ? decodeProgress(value) : PackedJobProgress.create(phase, value)};
}

/** Returns undefined for a record kind that this version does not know. */
export function decodeLedger(record: KeyedRecord): LedgerRecord | undefined {
	const key = parseKey(record.key);
	return key && ledgerDecoders[key.kind]?.(key.id, record.value);
}
