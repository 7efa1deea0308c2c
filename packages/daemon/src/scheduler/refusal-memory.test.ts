/** A host tells the others which jobs it refused while the store did not answer, and since when. */
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {performance} from 'node:perf_hooks';
import type {JobId} from '@rhubarblever/core';
import type {IntakeRecord} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {BoundedOutput} from './bounded-output.js';
import {decodeIntake, encodeIntake} from './codec.js';
import {DecisionLog} from './decision-log.js';
import type {WriteOutcome} from './intake-writer.js';
import {RefusalMemory} from './refusal-memory.js';

const wallStart = 1_800_000_000_000;

describe('the jobs that a host refused', () => {
	let now = 0;
	let outcome: WriteOutcome = 'stored';
	let isStoreUnresponsive = true;
	let records: IntakeRecord[] = [];
	const settle = async () => new Promise(resolve => {
		setImmediate(resolve);
	});

	beforeEach(() => {
		now = 1000;
		outcome = 'stored';
		isStoreUnresponsive = true;
		records = [];
		mock.method(performance, 'now', () => now);
		mock.method(Date, 'now', () => wallStart + now);
	});

	afterEach(() => {
		mock.restoreAll();
	});

	function createMemory(): RefusalMemory {
		const output = BoundedOutput.create((_chunk, done) => {
			done();
		});
		return RefusalMemory.create({
			holder: 'h/1', log: DecisionLog.create({host: 'h', output}), handleStored() {},
			writer: {
				isStoreUnresponsive: () => isStoreUnresponsive,
				async write(record) {
					records.push(record);
					return outcome;
				},
			},
		});
	}

	async function tick(memory: RefusalMemory, afterMs: number): Promise<number> {
		now += afterMs;
		memory.tick();
		await settle();
		return records.length;
	}

	/** Guards against: after an outage the hosts take each returning job for new. */
	it('are stored in one record once the store answers again, with their first instants, and again until that succeeds', async () => {
		const memory = createMemory();
		memory.note('a' as JobId, now);
		now += 3000;
		memory.note('a' as JobId, now);
		memory.note('b' as JobId, now);
		expect(await tick(memory, 500)).toEqual(0);
		isStoreUnresponsive = false;
		outcome = 'unknown';
		expect(await tick(memory, 500)).toEqual(1);
		outcome = 'stored';
		expect(await tick(memory, 500)).toEqual(2);
		expect(decodeIntake({offset: 0, ...encodeIntake(records[1]!)})).toEqual({
			type: 'refusals', holder: 'h/1', jobs: [{jobId: 'a', sentAt: wallStart + 1000}, {jobId: 'b', sentAt: wallStart + 4000}],
		} as unknown as IntakeRecord);
	});

	/** Guards against: a store that serves all hosts is sent records when nothing was refused, or one for each refusal. */
	it('cause no record if there are none, and at most one each two seconds', async () => {
		const memory = createMemory();
		isStoreUnresponsive = false;
		expect(await tick(memory, 5000)).toEqual(0);
		for (let number = 1; number <= 40; number++) {
			memory.note(`${number}` as JobId, now);
			// eslint-disable-next-line no-await-in-loop
			await tick(memory, 100);
		}

		expect(records.length <= 2).toEqual(true);
		expect(await tick(memory, 2000)).toEqual(records.length);
		expect(await tick(memory, 10_000)).toEqual(records.length);
	});

	/** Guards against: a host that reads late misses a record, since the store keeps only the newest of each key. */
	it('are repeated in the next record for some seconds, unless they were accepted since', async () => {
		const memory = createMemory();
		isStoreUnresponsive = false;
		memory.note('a' as JobId, now);
		memory.note('accepted' as JobId, now);
		await tick(memory, 100);
		memory.drop('accepted' as JobId);
		memory.note('b' as JobId, now);
		await tick(memory, 2000);
		const [, second] = records;
		expect(second?.type === 'refusals' ? second.jobs.map(({jobId}) => jobId) : []).toEqual(['a', 'b'] as JobId[]);
	});
});
