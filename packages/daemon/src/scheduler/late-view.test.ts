/** A host with a stale view of the jobs must not conclude from it that a job does not exist. */
import {
	afterEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobId} from '@rhubarblever/core';
import {expect} from 'earl';
import type {KeyedStore} from './ports.js';
import type {SchedulerHost} from './scheduler-host.js';
import {
	config, configApplyMs, createJobRecord, createLoad, createRead, ScriptedStore, startHost as startScriptedHost, visibleMs,
} from './testing/scripted-store.js';

/** Longer than the bound: a view of this age is stale. */
const staleMs = visibleMs + 300;
/** Polling interval while the test waits for a condition. */
const pollMs = 10;

type Gate = {readonly opened: Promise<void>; readonly open: () => void};

/** Creates a promise that the test resolves with `open`. */
function createGate(): Gate {
	let open: (() => void) | undefined;
	const opened = new Promise<void>(resolve => {
		open = resolve;
	});
	return {
		opened, open() {
			open?.();
		},
	};
}

describe('a host with a stale view of the jobs', () => {
	const hosts: SchedulerHost[] = [];

	afterEach(() => {
		for (const host of hosts.splice(0)) {
			host.close();
		}
	});

	function startHost(store: KeyedStore): SchedulerHost {
		const host = startScriptedHost(store);
		hosts.push(host);
		return host;
	}

	async function waitForInitialization(host: SchedulerHost): Promise<void> {
		while (!host.jobApi.isInitialized()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}
	}

	/** Guards against a starting host that answers "no such job" for a job accepted while it was loading all jobs (docs/incidents/2026-12-04-lost.md). */
	it('is unsure about a job that was accepted while it loaded all jobs', async () => {
		const store = ScriptedStore.create();
		store.loadIntake = async () => {
			const contents = createLoad([]);
			await sleep(staleMs);
			return contents;
		};

		const job = createJobRecord(0, 'a');
		const gate = createGate();
		store.readIntake = async () => {
			await gate.opened;
			return createRead([job], 0, 1);
		};

		const host = startHost(store);
		await waitForInitialization(host);
		expect(host.jobApi.getPhase('a' as JobId)).toEqual('unsure');
		gate.open();
		await sleep(pollMs);
		expect(host.jobApi.getPhase('a' as JobId)).toEqual('queued');
	});

	/** Guards against a host that takes each page of a long backlog for the end of the stream. */
	it('is unsure while its reads end before the stream\'s end', async () => {
		const store = ScriptedStore.create();
		const pageMs = 300;
		let hasCaughtUp = false;
		store.readIntake = async fromOffset => {
			await sleep(pageMs);
			return hasCaughtUp
				? createRead([createJobRecord(fromOffset, 'last')], fromOffset, fromOffset + 1)
				: createRead([createJobRecord(fromOffset, `early-${fromOffset}`)], fromOffset, fromOffset + 2);
		};

		const host = startHost(store);
		await waitForInitialization(host);
		await sleep(staleMs);
		expect(host.jobApi.getPhase('last' as JobId)).toEqual('unsure');
		hasCaughtUp = true;
		while (host.jobApi.getPhase('last' as JobId) === 'unsure') {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		expect(host.jobApi.getPhase('last' as JobId)).toEqual('queued');
	});

	/** Guards against a slow response whose contents count as fresh as of its arrival. */
	it('measures the age of a response from the time of its request', async () => {
		const store = ScriptedStore.create();
		const responseDelayMs = 1800;
		const neverOpened = createGate();
		let reads = 0;
		store.readIntake = async fromOffset => {
			reads++;
			await (reads > 1 ? neverOpened.opened : sleep(responseDelayMs));
			return createRead([], fromOffset, fromOffset);
		};

		const host = startHost(store);
		await waitForInitialization(host);
		await sleep(staleMs);
		expect(host.jobApi.getPhase('a' as JobId)).toEqual('unsure');
	});

	/** Guards against a host that has not read the latest jobs and reports too few pending jobs to callers. */
	it('does not count pending jobs in a stale view', async () => {
		const store = ScriptedStore.create();
		store.loadIntake = async () => {
			await sleep(staleMs);
			return createLoad([]);
		};

		const gate = createGate();
		store.readIntake = async () => {
			await gate.opened;
			return createRead([createJobRecord(0, 'a')], 0, 1);
		};

		const host = startHost(store);
		await waitForInitialization(host);
		expect(host.jobApi.countPending('replans')).toEqual('unsure');
		expect(host.isReady()).toEqual(false);
		gate.open();
		await sleep(pollMs);
		expect(host.jobApi.countPending('replans')).toEqual(1);
	});

	/** Guards against a host that cannot read the configuration and answers "no such queue" for a new queue. */
	it('does not deny a queue when its view of the configuration is stale', async () => {
		const store = ScriptedStore.create();
		const host = startHost(store);
		await waitForInitialization(host);
		expect(host.jobApi.findQueue('h', '/new/')).toEqual('no-such-queue');
		store.isOperatorStreamReachable = false;
		await sleep(configApplyMs);
		expect(host.jobApi.findQueue('h', '/new/')).toEqual('unsure');
		expect(host.jobApi.findQueue('h', '/replans/a')).toEqual(config.queues[0]!);
	});

	/** Guards against a record that cannot be unpacked and stops the reading of the jobs. */
	it('skips a record that cannot be unpacked', async () => {
		const store = ScriptedStore.create();
		const unreadable = {offset: 0, key: 'job:bad', value: new Uint8Array([0xC1])};
		store.loadIntake = async () => createLoad([unreadable, createJobRecord(1, 'a')]);
		const host = startHost(store);
		await waitForInitialization(host);
		expect(host.jobApi.getPhase('a' as JobId)).toEqual('queued');
	});

	/** Guards against a host that never denies unknown jobs, so that callers query them again and again. */
	it('is sure when it has read up to the stream\'s end', async () => {
		const host = startHost(ScriptedStore.create());
		await waitForInitialization(host);
		await sleep(pollMs);
		expect(host.jobApi.getPhase('a' as JobId)).toEqual('no-such-job');
	});
});
