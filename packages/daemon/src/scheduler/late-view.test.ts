/** A host with a stale view of the jobs must not conclude from it that a job does not exist. */
import {
	afterEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Instant, JobId} from '@rhubarblever/core';
import type {FleetConfig, JobDefinition, SchedulerSettings} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {BoundedOutput} from './bounded-output.js';
import {encodeIntake, intakeStream} from './codec.js';
import {DecisionLog} from './decision-log.js';
import {createMetrics} from './metrics.js';
import type {
	AppendOutcome, PlatformCodec, KeyedRecord, KeyedStore, LoadOutcome, ReadOutcome, SchedulerPorts,
} from './ports.js';
import {SchedulerHost} from './scheduler-host.js';

/** Required bound: every host knows a job this long after its acceptance. */
const visibleMs = 3000;
/** Longer than the bound: a view of this age is stale. */
const staleMs = visibleMs + 300;
/** Required bound: a configuration is in force on every host this long after its acknowledgement. */
const configApplyMs = 2000;
/** Polling interval while the test waits for a condition. */
const pollMs = 10;
const operatorStream = 'operator';

type Read = (fromOffset: number) => Promise<ReadOutcome>;

/** A test double of the store with scripted reads of the intake stream; the operators' stream holds a configuration, the other streams are empty. */
class ScriptedStore implements KeyedStore {
	static create(): ScriptedStore {
		return new ScriptedStore();
	}

	loadIntake: () => Promise<LoadOutcome>;
	readIntake: Read;
	/** While false, reads of the operators' stream fail. */
	isOperatorStreamReachable = true;

	private constructor() {
		this.loadIntake = async () => createLoad([]);
		this.readIntake = async fromOffset => createRead([], fromOffset, fromOffset);
	}

	async append(): Promise<AppendOutcome> {
		return {type: 'refused'};
	}

	async read(stream: string, fromOffset: number, waitMs: number): Promise<ReadOutcome> {
		if (stream === intakeStream) {
			return this.readIntake(fromOffset);
		}

		await sleep(waitMs);
		return stream === operatorStream && !this.isOperatorStreamReachable ? {type: 'unavailable'} : createRead([], fromOffset, fromOffset);
	}

	async listNewest(stream: string): Promise<LoadOutcome> {
		if (stream === intakeStream) {
			return this.loadIntake();
		}

		return createLoad(stream === operatorStream ? [{offset: 0, key: 'config', value: new Uint8Array(1)}] : []);
	}
}

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

function createLoad(records: readonly KeyedRecord[], nextOffset = records.length): LoadOutcome {
	return {
		type: 'loaded', records, nextOffset, pages: 1,
	};
}

function createRead(records: readonly KeyedRecord[], fromOffset: number, end: number): ReadOutcome {
	return {
		type: 'read', records, nextOffset: fromOffset + records.length, end,
	};
}

function createJobRecord(offset: number, jobId: string): KeyedRecord {
	const job: JobDefinition = {
		jobId: jobId as JobId, queue: 'replans', pool: 'trucks', spec: '', steps: [], runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0,
	};
	return {offset, ...encodeIntake({type: 'job', job})};
}

const config: FleetConfig = {
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
	decodeConfig: () => config,
	decodeWave: () => undefined,
	decodeWorker: () => undefined,
	encodeWaveStatus: () => ({key: 'w', value: undefined}),
	decodeWaveStatus: () => undefined,
};

const settings: SchedulerSettings = {
	holder: 'h', claimJitter: 0, capacityShortfall: 0, firstSequence: 1, moveMs: 1500, upkeepMs: 2000, orderLeaseMs: 3000, maxLeaseMs: 10_000, statusRetentionMs: 120_000, remoteRackFactor: 2,
};

describe('a host with a stale view of the jobs', () => {
	const hosts: SchedulerHost[] = [];

	afterEach(() => {
		for (const host of hosts.splice(0)) {
			host.close();
		}
	});

	function startHost(store: KeyedStore): SchedulerHost {
		// The host sends no orders: the store refuses its claims, so it never becomes the leader.
		const ports = {store, codec} as unknown as SchedulerPorts;
		const log = DecisionLog.create({
			host: 'h', output: BoundedOutput.create((_chunk, done) => {
				done();
			}),
		});
		const host = SchedulerHost.create({
			ports, settings, visibleMs, configApplyMs, log, metrics: createMetrics(),
		});
		hosts.push(host);
		host.start();
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
