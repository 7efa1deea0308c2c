/** Load on a store that has gone silent: callers' records are refused in time to be tried elsewhere, instead of getting an unknown outcome. */
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobId} from '@rhubarblever/core';
import {expect} from 'earl';
import {readSteadyClock} from './clocks.js';
import {IntakeWriter} from './intake-writer.js';
import {storeLimits} from './testing/scripted-store.js';
import type {AppendOutcome, KeyedStore, NewRecord} from './ports.js';
import {StoreCheck} from './store-check.js';

const silent = new Promise<never>(() => {
	// A call that is never answered.
});

class SwitchedStore implements KeyedStore {
	static create(): SwitchedStore {
		return new SwitchedStore();
	}

	isSilent = false;
	readonly sizes: number[] = [];
	readonly limits = storeLimits;

	private constructor() {}

	async append(_stream: string, records: readonly NewRecord[]): Promise<AppendOutcome> {
		this.sizes.push(records.length);
		return this.isSilent ? silent : {type: 'appended', offset: 0};
	}

	async read(): Promise<{type: 'unavailable'}> {
		return {type: 'unavailable'};
	}

	async listNewest(): Promise<{type: 'unavailable'}> {
		return {type: 'unavailable'};
	}
}

describe('a record for a store that has not answered lately', () => {
	/** Guards against callers of each host whose first job after the store went silent has an unknown outcome. */
	it('is refused within half a second, and not sent, if the store is silent', async () => {
		const store = SwitchedStore.create();
		store.isSilent = true;
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: () => readSteadyClock() - 1000});
		const startedAt = readSteadyClock();
		const writes = Array.from({length: 20}, async (_, number) => writer.write({type: 'cancel', jobId: `${number}` as JobId}, startedAt + 3000));
		expect(new Set(await Promise.all(writes))).toEqual(new Set(['refused']));
		expect(readSteadyClock() - startedAt < 1000).toEqual(true);
		expect(store.sizes).toEqual([0, 0]);
	});

	it('is sent once the store has answered a question', async () => {
		const store = SwitchedStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: () => undefined});
		expect(await writer.write({type: 'cancel', jobId: '1' as JobId}, readSteadyClock() + 3000)).toEqual('stored');
		expect(store.sizes).toEqual([0, 1]);
		expect(await writer.write({type: 'cancel', jobId: '2' as JobId}, readSteadyClock() + 3000)).toEqual('stored');
		expect(store.sizes).toEqual([0, 1, 1]);
	});

	it('is sent without a question if the store has just answered a read', async () => {
		const store = SwitchedStore.create();
		const writer = IntakeWriter.create(store, {getStoreAnsweredAt: readSteadyClock});
		expect(await writer.write({type: 'cancel', jobId: '1' as JobId}, readSteadyClock() + 3000)).toEqual('stored');
		expect(store.sizes).toEqual([1]);
	});
});

describe('a question whose answer is lost', () => {
	it('is asked again', async () => {
		let questions = 0;
		const check = StoreCheck.create({
			async ask() {
				questions++;
				return questions === 1 ? silent : true;
			},
			getAnsweredAt: () => undefined,
		});
		expect(await check.isAnswering()).toEqual(true);
		expect(questions).toEqual(2);
	});

	it('counts as no answer when the connection is refused twice', async () => {
		const check = StoreCheck.create({
			async ask() {
				await sleep(1);
				return false;
			},
			getAnsweredAt: () => undefined,
		});
		expect(await check.isAnswering()).toEqual(false);
	});
});
