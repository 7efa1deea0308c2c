/** Records survive encoding for the store and decoding unchanged. */
import {describe, it} from 'node:test';
import type {Instant, JobId} from '@rhubarblever/core';
import type {IntakeRecord, JobProgress, LedgerRecord} from '@rhubarblever/core/scheduler';
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

describe('records of the store', () => {
	it('round-trip intake records', () => {
		const records: IntakeRecord[] = [
			{
				type: 'job',
				job: {
					jobId, queue: 'q', pool: 'p', maxAttempts: 4, spec: 's', runCount: 2, firstRunAt: 5 as Instant, intervalMs: 7, steps: [{
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
					phase: 'running', finishedOccurrences: [1], finishedAt: 0 as Instant, rows: [{
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
				type: 'load', load: {
					token: 4, computedAt: 1_800_000_000_000 as Instant, shares: [{account: 'a', within: 0.25}], waits: [{
						pool: 'p', priority: 0, startMs: 1, backlogMs: 2, delayMs: 3, excessMs: 4, room: {cpu: 1, memoryMb: 2, gpu: 0},
					}],
				},
			},
		];
		for (const record of records) {
			const decoded = decodeLedger({offset: 0, ...encodeLedger(record)});
			expect(decoded?.type === 'progress' ? {...decoded, progress: readFields(decoded.progress)} : decoded).toEqual(record);
		}
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
});
