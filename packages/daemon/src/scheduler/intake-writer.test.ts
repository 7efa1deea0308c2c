/** The store falls silent: what was sent stays doubtful, what was not is refused at once. */
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobId} from '@rhubarblever/core';
import {expect} from 'earl';
import {readSteadyClock} from './clocks.js';
import {IntakeWriter} from './intake-writer.js';
import type {AppendOutcome, KeyedStore} from './ports.js';

/** A store whose appends are answered when the test says so. */
class HeldStore implements KeyedStore {
	static create(): HeldStore {
		return new HeldStore();
	}

	readonly answers: Array<(outcome: AppendOutcome) => void> = [];

	private constructor() {}

	async append(): Promise<AppendOutcome> {
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

const longAhead = 10_000;

function createCancel(number: number) {
	return {type: 'cancel' as const, jobId: `${number}` as JobId};
}

describe('a store that falls silent', () => {
	it('lets calls that were not sent be refused long before their deadline', async () => {
		const store = HeldStore.create();
		const writer = IntakeWriter.create(store);
		const deadline = readSteadyClock() + longAhead;
		const first = writer.write(createCancel(1), deadline);
		const second = writer.write(createCancel(2), deadline);
		expect(await second).toEqual('refused');
		expect(writer.isSilent()).toEqual(true);
		expect(await writer.write(createCancel(3), deadline)).toEqual('refused');
		expect(store.answers.length).toEqual(1);
		store.answers[0]!({type: 'appended', offset: 0});
		expect(await first).toEqual('stored');
		expect(writer.isSilent()).toEqual(false);
	});

	it('repeats what may be stored, and never calls it refused', async () => {
		const store = HeldStore.create();
		const writer = IntakeWriter.create(store);
		const first = writer.write(createCancel(1), readSteadyClock() + longAhead);
		store.answers[0]!({type: 'unknown'});
		while (store.answers.length < 2) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(5);
		}

		expect(await writer.write(createCancel(2), readSteadyClock() + longAhead)).toEqual('refused');
		store.answers[1]!({type: 'appended', offset: 0});
		expect(await first).toEqual('stored');
	});
});
