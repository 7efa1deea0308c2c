/** When the store stops responding, records already sent stay unresolved, and records not yet sent are refused at once. */
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobId} from '@rhubarblever/core';
import {expect} from 'earl';
import {readSteadyClock} from './clocks.js';
import {IntakeWriter} from './intake-writer.js';
import {storeLimits} from './testing/scripted-store.js';
import type {
	AppendOutcome, KeyedStore, NewRecord, StoreLimits,
} from './ports.js';

/** A test double whose appends are answered when the test resolves them. */
class ManualStore implements KeyedStore {
	static create(limits = storeLimits): ManualStore {
		return new ManualStore(limits);
	}

	readonly answers: Array<(outcome: AppendOutcome) => void> = [];
	/** Number of records of each append. */
	readonly sizes: number[] = [];

	private constructor(readonly limits: StoreLimits) {}

	async append(_stream: string, records: readonly NewRecord[]): Promise<AppendOutcome> {
		this.sizes.push(records.length);
		return new Promise(resolve => {
			this.answers.push(resolve);
		});
	}

	async read(): Promise<{type: 'unavailable'}> {
		return {type: 'unavailable'};
	}

	async listNewest(): Promise<{type: 'unavailable'}> {
		return {type: 'unavailable'};
	}
}

const distantDeadlineMs = 10_000;

function createCancel(number: number) {
	return {type: 'cancel' as const, jobId: `${number}` as JobId};
}

async function waitForAppends(store: ManualStore, count: number): Promise<void> {
	while (store.answers.length < count) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
	}
}

describe('an append without a response', () => {
	it('does not block later records while the store answers other appends', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const deadline = readSteadyClock() + distantDeadlineMs;
		const first = writer.write(createCancel(1), deadline);
		const second = writer.write(createCancel(2), deadline);
		await waitForAppends(store, 2);
		store.answers[1]!({type: 'appended', offset: 1});
		expect(await second).toEqual('stored');
		expect(writer.isStoreUnresponsive()).toEqual(false);
		store.answers[0]!({type: 'unknown'});
		await waitForAppends(store, 3);
		store.answers[2]!({type: 'appended', offset: 2});
		expect(await first).toEqual('stored');
	});

	it('is retried, and other writes are still accepted, when its outcome is unknown because the connection broke', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const first = writer.write(createCancel(1), readSteadyClock() + distantDeadlineMs);
		await waitForAppends(store, 1);
		store.answers[0]!({type: 'unknown'});
		await waitForAppends(store, 2);
		expect(writer.isStoreUnresponsive()).toEqual(false);
		store.answers[1]!({type: 'appended', offset: 0});
		expect(await first).toEqual('stored');
	});
});

describe('a store that stops responding', () => {
	it('causes unsent writes to be refused at once, long before their deadline', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const deadline = readSteadyClock() + distantDeadlineMs;
		const sent = writer.write(createCancel(1), deadline);
		while (!writer.isStoreUnresponsive()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(5);
		}

		expect(await writer.write(createCancel(2), deadline)).toEqual('refused');
		expect(store.sizes.filter(size => size > 0)).toEqual([1]);
		// The length of the outage, from which the Retry-After of callers follows.
		expect(writer.getOutageMs() > 600).toEqual(true);
		store.answers[0]!({type: 'appended', offset: 0});
		expect(await sent).toEqual('stored');
		expect(writer.isStoreUnresponsive()).toEqual(false);
		expect(writer.getOutageMs()).toEqual(0);
	});

	it('causes writes queued behind the maximum number of appends in flight to be refused', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const deadline = readSteadyClock() + distantDeadlineMs;
		const sent: Array<Promise<unknown>> = [];
		for (let number = 1; number <= 3; number++) {
			sent.push(writer.write(createCancel(number), deadline));
			// eslint-disable-next-line no-await-in-loop
			await waitForAppends(store, number);
		}

		expect(await writer.write(createCancel(4), deadline)).toEqual('refused');
		for (const answer of store.answers) {
			answer({type: 'appended', offset: 0});
		}

		expect(await Promise.all(sent)).toEqual(['stored', 'stored', 'stored']);
	});

	it('never reports a record that may be stored as refused', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const first = writer.write(createCancel(1), readSteadyClock() + 200);
		await waitForAppends(store, 1);
		store.answers[0]!({type: 'unknown'});
		await waitForAppends(store, 2);
		store.answers[1]!({type: 'refused'});
		await waitForAppends(store, 3);
		await sleep(200);
		store.answers[2]!({type: 'refused'});
		expect(await first).toEqual('unknown');
	});

	/** Guards against callers whose jobs are risked to find out whether the store is back: their outcome would be unknown. */
	it('is asked with empty appends, and no write is accepted, until it responds', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const deadline = readSteadyClock() + distantDeadlineMs;
		const sent = writer.write(createCancel(1), readSteadyClock());
		while (!writer.isStoreUnresponsive()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(5);
		}

		store.answers[0]!({type: 'unknown'});
		expect(await sent).toEqual('unknown');
		const outcomes: AppendOutcome[] = [{type: 'unknown'}, {type: 'refused', isUnreachable: true}];
		for (const [index, outcome] of outcomes.entries()) {
			// eslint-disable-next-line no-await-in-loop
			await waitForAppends(store, index + 2);
			// eslint-disable-next-line no-await-in-loop
			expect(await writer.write(createCancel(2), deadline)).toEqual('refused');
			store.answers[index + 1]!(outcome);
		}

		await waitForAppends(store, 4);
		store.answers[3]!({type: 'refused'});
		await sleep(5);
		expect(store.sizes).toEqual([1, 0, 0, 0]);
		expect(writer.isStoreUnresponsive()).toEqual(false);
		void writer.write(createCancel(3), deadline);
		await waitForAppends(store, 5);
		store.answers.at(-1)!({type: 'appended', offset: 0});
	});

	/** Guards against a host that is never ready again because the one append that broke off was not repeated. */
	it('is asked also when its last append broke off and no write is left to repeat it', async () => {
		const store = ManualStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const sent = writer.write(createCancel(1), readSteadyClock());
		await waitForAppends(store, 1);
		store.answers[0]!({type: 'unknown'});
		expect(await sent).toEqual('unknown');
		await waitForAppends(store, 2);
		expect(store.sizes).toEqual([1, 0]);
		store.answers[1]!({type: 'appended', offset: 0});
		await sleep(5);
		expect(writer.isStoreUnresponsive()).toEqual(false);
	});
});

describe('records that do not fit into one append together', () => {
	/** Guards against jobs that are refused because the jobs beside them make their append larger than the store takes. */
	it('are sent in several', async () => {
		const store = ManualStore.create({maxRecordBytes: 100, maxAppendBytes: 30});
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const deadline = readSteadyClock() + distantDeadlineMs;
		const writes = Promise.all([1, 2, 3, 4, 5].map(async number => writer.write(createCancel(number), deadline)));
		for (let records = 0, answered = 0; records < 5; answered++) {
			// eslint-disable-next-line no-await-in-loop
			await waitForAppends(store, answered + 1);
			store.answers[answered]!({type: 'appended', offset: 0});
			records += store.sizes[answered]!;
		}

		expect(await writes).toEqual(['stored', 'stored', 'stored', 'stored', 'stored']);
		expect(store.sizes.every(size => size <= 2)).toEqual(true);
	});

	/** Guards against a job that can never be stored and is refused with a time to come back. */
	it('are refused at once if the store can never take them', async () => {
		const store = ManualStore.create({maxRecordBytes: 100, maxAppendBytes: 200});
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		const large = {type: 'cancel' as const, jobId: 'x'.repeat(100) as JobId};
		expect(writer.canStore(large)).toEqual(false);
		expect(await writer.write(large, readSteadyClock() + distantDeadlineMs)).toEqual('refused');
		expect(store.sizes).toEqual([]);
	});
});
