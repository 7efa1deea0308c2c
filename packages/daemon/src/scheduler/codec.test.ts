/** Records survive encoding for the store and decoding unchanged. */
import {describe, it, mock} from 'node:test';
import type {Instant, JobId} from '@rhubarblever/core';
import type {
	IntakeRecord, JobProgress, LedgerRecord, ProgressRow,
} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {Packr} from 'msgpackr';
import {
	decodeIntake, decodeLedger, encodeIntake, encodeLedger,
} from './codec.js';

const jobId = '0123456789abcdef' as JobId;

/** Progress is decoded field by field when it is asked for. */
function readFields({
	phase, finishedOccurrences, finishedAt, rows,
}: JobProgress): JobProgress {
	return {
		phase, finishedOccurrences, finishedAt, rows,
	};
}

/** Progress and run times are decoded when they are asked for. */
function readRecord(record: LedgerRecord): LedgerRecord {
	if (record.type === 'run-times') {
		return {type: record.type, rows: record.rows};
	}

	return record.type === 'progress' ? {...record, progress: readFields(record.progress)} : record;
}

describe('records of the store', () => {
	it('round-trip intake records', () => {
		const records: IntakeRecord[] = [
			{
				type: 'job',
				job: {
					jobId, queue: 'q', account: 'lab', pool: 'p', maxAttempts: 4, spec: 's', runCount: 2, firstRunAt: 5 as Instant, intervalMs: 7, steps: [{
						count: 1, need: {cpu: 1, memoryMb: 2, gpu: 0}, estimateMs: 3, dependsOn: [], isCheckpointing: true, isGang: false, isSameRack: false, requiredLabel: '', dataRack: '', maxPerWorker: 0, isSpeculative: false, isLongRunning: false, latencyTargetMs: 0, isFiller: false, maxUnavailable: 0,
					}],
				},
			},
			{type: 'cancel', jobId},
			{type: 'job-removed', jobId},
			{type: 'cancel-removed', jobId},
			{type: 'refusals', holder: 'h/1', jobs: [{jobId, sentAt: 1_800_000_000_000 as Instant}]},
			{type: 'refusals-removed', holder: 'h/1'},
		];
		for (const record of records) {
			expect(decodeIntake({offset: 0, ...encodeIntake(record)})).toEqual(record);
		}
	});

	it('round-trip ledger records', () => {
		const records: LedgerRecord[] = [
			{type: 'lease', lease: {holder: 'h', token: 4, isReleased: false}},
			{
				type: 'progress', jobId, progress: {
					phase: 'running', finishedOccurrences: [[1, 1]], finishedAt: 0 as Instant, rows: [{
						occurrence: 0, step: 1, index: 2, status: 'placed', run: 3, failures: 1, workerId: 'w', workerBornAt: 1_800_000_000_000, checkpoint: 'c',
					}, {
						occurrence: 0, step: 1, index: 3, status: 'waiting', run: 2, failures: 0, workerId: '', workerBornAt: 0, checkpoint: '', crashes: [{
							run: 1, workerId: 'w', bornAt: 1_800_000_000_000, at: 1_800_000_000_001 as Instant, isConfirmed: false, blame: 'sole',
						}],
					}],
				},
			},
			{type: 'progress-removed', jobId},
			{type: 'waves', waves: [{wave: 1, doneMachines: ['m'], isCompleted: false}]},
			{type: 'orders', machineIds: ['m']},
			{type: 'config', config: {version: 3, queues: [], pools: []}},
			{
				type: 'config', config: {
					version: 4, pools: [], accounts: [{
						name: 'lab', weight: 1, quota: {cpu: 0, memoryMb: 0, gpu: 0}, keyDigests: ['digest'],
					}], queues: [{
						name: 'q', host: 'h', pathPrefix: '/q/', pool: 'p', priority: 0, maxAttempts: 3, stretch: 1, latencyTargetMs: 0, timeoutMs: 0, advice: undefined, isPublic: true,
					}],
				},
			},
			{
				type: 'run-times', rows: [{
					queue: 'q', shape: 12, runs: 3007, durationError: 0.1, ratioError: 2.5, durations: [200, 7, 1, 3000], ratios: [],
				}],
			},
			{
				type: 'load', load: {
					token: 4, computedAt: 1_800_000_000_000 as Instant, shares: [{account: 'a', within: 0.25}], waits: [{
						pool: 'p', priority: 0, startMs: 1, backlogMs: 2, delayMs: 3, excessMs: 4, room: {cpu: 1, memoryMb: 2, gpu: 0},
					}],
				},
			},
		];
		for (const record of records) {
			const decoded = decodeLedger({offset: 0, ...encodeLedger(record)});
			expect(decoded && readRecord(decoded)).toEqual(record);
		}
	});

	it('round-trip progress that is stored in parts', () => {
		const progress: JobProgress = {
			phase: 'running', finishedOccurrences: [[1, 1]], finishedAt: 0 as Instant, rows: [], rowsPerPart: 100,
		};
		const head = decodeLedger({offset: 0, ...encodeLedger({type: 'progress', jobId, progress})});
		expect(head?.type === 'progress' ? [readFields(head.progress), head.progress.rowsPerPart] : undefined).toEqual([readFields(progress), 100]);
		const rows: ProgressRow[] = [{
			occurrence: 0, step: 1, index: 102, status: 'placed', run: 3, failures: 1, workerId: 'w', workerBornAt: 5, checkpoint: 'c',
		}];
		const part = decodeLedger({
			offset: 0, ...encodeLedger({
				type: 'progress-part', jobId, part: '0.1.1', rows,
			}),
		});
		expect(part?.type === 'progress-part' ? [part.jobId, part.part, part.rows] : undefined).toEqual([jobId, '0.1.1', rows]);
		const removal: LedgerRecord = {type: 'progress-part-removed', jobId, part: '0.1.1'};
		expect(decodeLedger({offset: 0, ...encodeLedger(removal)})).toEqual(removal);
	});

	/** Guards against a record that grows with each finished occurrence of a schedule, until the store refuses it. */
	it('take as little for the finished occurrences of a long schedule as for those of a short one', () => {
		const progress: JobProgress = {
			phase: 'running', finishedOccurrences: [[0, 518_399], [518_401, 518_500]], finishedAt: 0 as Instant, rows: [], rowsPerPart: 100,
		};
		const record = encodeLedger({type: 'progress', jobId, progress});
		const decoded = decodeLedger({offset: 0, ...record});
		expect(record.value!.length < 100).toEqual(true);
		expect(decoded?.type === 'progress' && readFields(decoded.progress)).toEqual(readFields(progress));
	});

	/** Guards against a configuration of many queues that the store refuses for its size, and with it all else that the leader stores. */
	it('hold a configuration of thousands of queues', () => {
		const queues = Array.from({length: 8000}, (_, index) => ({
			name: `queue-${index}`, host: `host-${index % 7}.example`, pathPrefix: `/q${index * 7919}/`, pool: `pool-${index % 5}`, priority: 0, maxAttempts: 3, stretch: 1.5, latencyTargetMs: 600, timeoutMs: 3000, advice: undefined,
		}));
		const record: LedgerRecord = {type: 'config', config: {version: 9, queues, pools: []}};
		const encoded = encodeLedger(record);
		expect(encoded.value!.length < 262_144).toEqual(true);
		expect(decodeLedger({offset: 0, ...encoded})).toEqual(record);
	});

	it('read the finished occurrences that earlier versions list one by one', () => {
		const packr = new Packr({useRecords: false});
		const decoded = decodeLedger({offset: 0, key: `progress:${jobId}`, value: packr.pack(['running', [2, 0, 1, 7], 0, []])});
		expect(decoded?.type === 'progress' ? decoded.progress.finishedOccurrences : undefined).toEqual([[0, 2], [7, 7]]);
	});

	/** Guards against a host that takes the lead with some of the rows of a job, and starts the others again. */
	it('fail to be read if a part has another form', () => {
		const packr = new Packr({useRecords: false});
		const part = decodeLedger({offset: 0, key: `part:${jobId}/0.0.0`, value: packr.pack([[0, 1]])});
		expect(() => part?.type === 'progress-part' && part.rows).toThrow();
	});

	/** Guards against accounts of another form that stop every call, and against jobs of earlier versions, without an account, that are lost. */
	it('refuse accounts of another form, and read jobs without an account', () => {
		const packr = new Packr({useRecords: false});
		const account = {
			name: 'lab', weight: 1, quota: {cpu: 0, memoryMb: 0, gpu: 0}, keyDigests: ['digest'],
		};
		for (const accounts of ['lab', [{...account, weight: -1}], [{...account, keyDigests: [7]}], [{...account, quota: undefined}]]) {
			const value = packr.pack({
				version: 3, queues: [], pools: [], accounts,
			});
			expect(() => decodeLedger({offset: 0, key: 'config:', value})).toThrow();
		}

		const job = {
			jobId, queue: 'q', pool: 'p', spec: '', steps: [], runCount: 0, firstRunAt: 0, intervalMs: 0,
		};
		expect(decodeIntake({offset: 0, key: `job:${jobId}`, value: packr.pack(job)})).toEqual(expect.subset({type: 'job'}));
		expect(() => decodeIntake({offset: 0, key: `job:${jobId}`, value: packr.pack({...job, account: 7})})).toThrow();
	});

	/** Guards against progress of earlier versions that cannot be read because its rows have no crashes. */
	it('read rows of earlier versions, without crashes, and refuse crashes of another form', () => {
		const packr = new Packr({useRecords: false});
		const row = [0, 1, 2, 'placed', 3, 1, 'w', 5, 'c'];
		const decode = (packed: unknown) => decodeLedger({offset: 0, key: `progress:${jobId}`, value: packr.pack(['running', [], 0, [packed]])});
		const decoded = decode(row);
		expect(decoded?.type === 'progress' ? decoded.progress.rows : undefined).toEqual([{
			occurrence: 0, step: 1, index: 2, status: 'placed', run: 3, failures: 1, workerId: 'w', workerBornAt: 5, checkpoint: 'c',
		}]);
		const bad = decode([...row, [[1, 'w']]]);
		expect(() => bad?.type === 'progress' && bad.progress.rows).toThrow();
	});

	it('ignore records of an unknown kind', () => {
		expect(decodeIntake({offset: 0, key: 'new:1', value: new Uint8Array([1])})).toEqual(undefined);
		expect(decodeLedger({offset: 0, key: 'no kind', value: undefined})).toEqual(undefined);
	});

	/** Guards against one record with missing fields that makes each leader in turn fail at every clock event. */
	it('are refused when fields are missing or of another type, and keep fields of a later version', () => {
		const packr = new Packr({useRecords: false});
		const lease = {holder: 'h', token: 4, isReleased: false};
		for (const value of [undefined, null, 5, 'x', [], {}, {jobId}, {jobId, steps: [{}]}]) {
			expect(() => decodeIntake({offset: 0, key: `job:${jobId}`, value: packr.pack(value)})).toThrow();
			expect(() => decodeLedger({offset: 0, key: `progress:${jobId}`, value: packr.pack(value)})).toThrow();
			expect(() => decodeLedger({offset: 0, key: 'lease:', value: packr.pack(value)})).toThrow();
			expect(() => decodeLedger({offset: 0, key: 'config:', value: packr.pack(value)})).toThrow();
		}

		const laterLease = {...lease, since: 7};
		expect(decodeLedger({offset: 0, key: 'lease:', value: packr.pack(laterLease)})).toEqual({type: 'lease', lease: laterLease});
	});

	/** Guards against a record of run times that hosts with little bandwidth cannot read along: 256 keys with runs in 115 buckets each. */
	it('keep the record of run times within a few hundred bytes a key', () => {
		const buckets = Array.from({length: 115}, (_, index) => [1 + (index % 3), 5]).flat();
		const rows = Array.from({length: 256}, (_, index) => ({
			queue: `queue-${index}`, shape: index, runs: 50_000, durationError: 0.123_456, ratioError: 1.234_567, durations: buckets, ratios: buckets,
		}));
		const {value} = encodeLedger({type: 'run-times', rows});
		expect(value!.length / rows.length).toBeLessThan(500);
	});

	/** Guards against a record of run times of another form, whose numbers would be taken for run times. */
	it('do not decode a malformed record of run times', () => {
		const packr = new Packr({useRecords: false});
		const row = ['q', 1, 2, 0.1, 0.1, [1, 2], [1, 2]];
		for (const value of [[2, [row]], [1, [['q', 1, 2, 0.1]]], [1, [[...row.slice(0, 6), [-1, 2]]]], [1, [[...row.slice(0, 6), [1, 1e12]]]], 'text', []]) {
			expect(() => {
				const decoded = decodeLedger({offset: 0, key: 'run-times:', value: packr.pack(value)});
				return decoded?.type === 'run-times' && decoded.rows;
			}).toThrow('unusable field');
		}
	});

	/** Guards against hosts that all unpack and check the run times, some thousand numbers every few seconds, though only the next leader needs them. */
	it('leave the rows of run times and of progress packed until they are asked for', () => {
		const unpack = mock.method(Packr.prototype, 'unpack');
		const runTimes = decodeLedger({
			offset: 0, ...encodeLedger({
				type: 'run-times', rows: [{
					queue: 'q', shape: 12, runs: 3, durationError: 0, ratioError: 0, durations: [1, 3], ratios: [1, 3],
				}],
			}),
		});
		const progress = decodeLedger({
			offset: 1, ...encodeLedger({
				type: 'progress', jobId, progress: {
					phase: 'running', finishedOccurrences: [], finishedAt: 0 as Instant, rows: [],
				},
			}),
		});
		const early = unpack.mock.callCount();
		expect([runTimes?.type === 'run-times' ? runTimes.rows.map(({queue}) => queue) : undefined, progress?.type === 'progress' ? progress.progress.rows : undefined]).toEqual([['q'], []]);
		const late = unpack.mock.callCount();
		unpack.mock.restore();
		expect([early, late]).toEqual([0, 2]);
	});
});
