/**
 * A host must not accept a key later than `revoke-ms` after the store confirmed its removal, whatever kept it from reading that.
 * The bound is shortened, so that the tests are; what holds for it holds for 5 s.
 */
import {Buffer} from 'node:buffer';
import {
	afterEach, describe, it, mock,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {computeKeyDigest} from './key-check.js';
import type {KeyedRecord} from './ports.js';
import type {SchedulerHost} from './scheduler-host.js';
import {
	config, createLoad, createRead, ScriptedStore, startHost,
} from './testing/scripted-store.js';

const revokeMs = 900;
const pollMs = 5;
const queue = config.queues[0]!;
const granted = {type: 'granted', account: 'lab'} as const;
const denied = {type: 'denied'} as const;
const unsure = {type: 'unsure'} as const;
const neverAnswered = new Promise<never>(() => {
	// A call that is never answered.
});

function createConfigRecord(offset: number, version: number, key: string): KeyedRecord {
	const accounts = [{
		name: 'lab', weight: 1, quota: {cpu: 0, memoryMb: 0, gpu: 0}, keyDigests: [computeKeyDigest(Buffer.from(key))],
	}];
	return {offset, key: 'config', value: Buffer.from(JSON.stringify({...config, version, accounts}))};
}

const withKey = createConfigRecord(0, 1, 'secret');
const withoutKey = createConfigRecord(1, 2, 'other');

/** A store whose operators' stream holds `records`; long polls end at once when there is something to read. */
function createStore(records: readonly KeyedRecord[]) {
	const store = ScriptedStore.create();
	const stream = {records, reads: 0};
	store.loadOperator = async () => createLoad(stream.records.slice(-1), stream.records.length);
	store.readOperator = async (fromOffset, waitMs) => {
		stream.reads++;
		const deadline = performance.now() + waitMs;
		while (stream.records.length <= fromOffset && performance.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		return createRead(stream.records.slice(fromOffset), fromOffset, stream.records.length);
	};

	return {store, stream};
}

/** Keeps the process from running anything else, as if it were stopped by a signal. */
function pauseProcess(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('a key that was removed', () => {
	const hosts: SchedulerHost[] = [];

	afterEach(() => {
		mock.restoreAll();
		for (const host of hosts.splice(0)) {
			host.close();
		}
	});

	function startStrictHost(store: ScriptedStore): SchedulerHost {
		const host = startHost(store, {}, {isRequired: false, revokeMs});
		hosts.push(host);
		return host;
	}

	async function startReadyHost(store: ScriptedStore): Promise<SchedulerHost> {
		const host = startStrictHost(store);
		while (!host.jobApi.isInitialized() || !host.isReady()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		expect(await host.keyCheck.check(queue, 'secret')).toEqual(granted);
		return host;
	}

	/** Guards against a host that was paused and answers the calls that waited meanwhile from its old view. */
	it('is refused by a host that was paused', async () => {
		const {store, stream} = createStore([withKey]);
		const host = await startReadyHost(store);
		stream.records = [withKey, withoutKey];
		pauseProcess(revokeMs);
		expect(host.isReady()).toEqual(false);
		expect(await host.keyCheck.check(queue, 'secret')).toEqual(denied);
	});

	/** Guards against a suspension, which the monotonic clock does not count, before any event has shown it; and against a read that was under way then. */
	it('is refused by a host that was suspended', async () => {
		const {store} = createStore([withKey]);
		const host = await startReadyHost(store);
		store.readOperator = async () => neverAnswered;
		const {now} = Date;
		mock.method(Date, 'now', () => now() + 60_000);
		expect(host.isReady()).toEqual(false);
		expect(await host.keyCheck.check(queue, 'secret')).toEqual(unsure);
	});

	/** Guards against a host that answers from its last view while it cannot reach the store, and against one that refuses too early. */
	it('is refused by a host that is cut off, but not before five sixths of the bound', async () => {
		const {store} = createStore([withKey]);
		const host = await startReadyHost(store);
		store.isOperatorStreamReachable = false;
		const cutAt = performance.now();
		let grantedUntil = cutAt;
		while (performance.now() < cutAt + revokeMs + 200) {
			const calledAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			const outcome = await host.keyCheck.check(queue, 'secret');
			expect(outcome.type === 'denied').toEqual(false);
			grantedUntil = outcome.type === 'granted' ? calledAt : grantedUntil;
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		expect([host.isReady(), grantedUntil < cutAt + (revokeMs * 5 / 6), grantedUntil > cutAt + (revokeMs / 3)]).toEqual([false, true, true]);
	});

	/** Guards against refusals by a host that takes the end of a read during its own pause for a failure of the store, and against a read for each call while the store is away. */
	it('is looked up once more after a failed read', async () => {
		const {store, stream} = createStore([withKey]);
		const host = await startReadyHost(store);
		store.isOperatorStreamReachable = false;
		await sleep(revokeMs * 1.5);
		store.isOperatorStreamReachable = true;
		stream.records = [withKey, withoutKey];
		expect(await host.keyCheck.check(queue, 'secret')).toEqual(denied);
		store.isOperatorStreamReachable = false;
		await sleep(revokeMs * 1.5);
		expect(await host.keyCheck.check(queue, 'other')).toEqual(unsure);
		const readsBefore = stream.reads;
		store.isOperatorStreamReachable = true;
		expect([await host.keyCheck.check(queue, 'other'), stream.reads - readsBefore]).toEqual([unsure, 0]);
	});

	/** Guards against a starting host whose load was answered long after it was requested. */
	it('is refused by a host that has just started, until it has read what was stored since', async () => {
		const {store, stream} = createStore([withKey]);
		store.loadOperator = async () => {
			await sleep(revokeMs);
			return createLoad([withKey], 1);
		};

		store.isOperatorStreamReachable = false;
		const host = startStrictHost(store);
		while (!host.jobApi.isInitialized()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		expect([await host.keyCheck.check(queue, 'secret'), host.isReady()]).toEqual([unsure, false]);
		stream.records = [withKey, withoutKey];
		store.isOperatorStreamReachable = true;
		while (!host.isReady()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		expect(await host.keyCheck.check(queue, 'secret')).toEqual(denied);
	});

	/** Guards against an answer that counts as fresh as of its arrival. */
	it('is refused on a slow answer to a read that was requested long ago', async () => {
		const {store} = createStore([withKey]);
		const host = await startReadyHost(store);
		await new Promise<void>(resolve => {
			store.readOperator = async (fromOffset, waitMs) => {
				await (waitMs > 0 ? sleep(revokeMs) : neverAnswered);
				setTimeout(resolve, pollMs);
				return createRead([], fromOffset, fromOffset);
			};
		});
		expect([await host.keyCheck.check(queue, 'secret'), host.isReady()]).toEqual([unsure, false]);
	});

	/** Guards against a store that lost the version that removed the key: every answer about it seems complete. */
	it('is refused after the store has lost its history, until a configuration is stored again', async () => {
		const {store, stream} = createStore([withKey]);
		const host = await startReadyHost(store);
		stream.records = [];
		await sleep(revokeMs);
		expect([await host.keyCheck.check(queue, 'secret'), host.isReady()]).toEqual([unsure, false]);
		stream.records = [withoutKey];
		await sleep(revokeMs / 2);
		expect([await host.keyCheck.check(queue, 'secret'), await host.keyCheck.check(queue, 'other'), host.isReady()]).toEqual([denied, granted, true]);
	});

	/** Guards against callers with bad keys who make the host read the store for each call. */
	it('costs no read in a flood of unknown keys on a fresh view, and one at a time on a stale one', async () => {
		const {store, stream} = createStore([withKey]);
		const host = await startReadyHost(store);
		const callFlood = async () => {
			const answers = await Promise.all(Array.from({length: 2000}, async (_, index) => host.keyCheck.check(queue, `bad-${index}`)));
			return new Set(answers.map(({type}) => type));
		};

		const readsBefore = stream.reads;
		expect(await callFlood()).toEqual(new Set(['denied']));
		expect(stream.reads - readsBefore <= 1).toEqual(true);
		pauseProcess(revokeMs);
		const readsAfterPause = stream.reads;
		expect(await callFlood()).toEqual(new Set(['denied']));
		// The flood's own read, and the next long poll.
		expect(stream.reads - readsAfterPause <= 2).toEqual(true);
	});
});
