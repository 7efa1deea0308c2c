/** A host whose view of the jobs is late does not conclude from it that a job does not exist. */
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
	AppendOutcome, FeedDecoders, KeyedRecord, KeyedStore, LoadOutcome, ReadOutcome, SchedulerPorts,
} from './ports.js';
import {SchedulerHost} from './scheduler-host.js';

/** The users' bound: a job is known everywhere this long after its acceptance. */
const visibleMs = 3000;
const lateMs = visibleMs + 300;
/** The users' bound: a configuration is in force everywhere this long after its confirmation. */
const configApplyMs = 2000;
/** Between two looks at something that is awaited. */
const lookMs = 10;
const operatorStream = 'operator';

type Read = (fromOffset: number) => Promise<ReadOutcome>;

/** A store whose intake answers as the test says; the operator's stream holds a configuration, the others are empty. */
class ScriptedStore implements KeyedStore {
	static create(): ScriptedStore {
		return new ScriptedStore();
	}

	loadIntake: () => Promise<LoadOutcome>;
	readIntake: Read;
	/** While false, reads of the operator's stream get no answer. */
	isOperatorHeard = true;

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
		return stream === operatorStream && !this.isOperatorHeard ? {type: 'unavailable'} : createRead([], fromOffset, fromOffset);
	}

	async listNewest(stream: string): Promise<LoadOutcome> {
		if (stream === intakeStream) {
			return this.loadIntake();
		}

		return createLoad(stream === operatorStream ? [{offset: 0, key: 'config', value: new Uint8Array(1)}] : []);
	}
}

type Gate = {readonly opened: Promise<void>; readonly open: () => void};

/** Something to wait for until the test opens it. */
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

const feed: FeedDecoders = {
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

describe('a host whose view of the jobs is late', () => {
	const hosts: SchedulerHost[] = [];

	afterEach(() => {
		for (const host of hosts.splice(0)) {
			host.close();
		}
	});

	function startHost(store: KeyedStore): SchedulerHost {
		// No order leaves this host: it never leads, since its claims are refused.
		const ports = {store, feed} as unknown as SchedulerPorts;
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

	async function waitForOpen(host: SchedulerHost): Promise<void> {
		while (!host.desk.isOpen()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(lookMs);
		}
	}

	/** Guards against: a job accepted while a starting host loads all jobs is answered with "no such job" (incident LOST). */
	it('is not sure of a job that came while it loaded all jobs', async () => {
		const store = ScriptedStore.create();
		store.loadIntake = async () => {
			const contents = createLoad([]);
			await sleep(lateMs);
			return contents;
		};

		const job = createJobRecord(0, 'a');
		const gate = createGate();
		store.readIntake = async () => {
			await gate.opened;
			return createRead([job], 0, 1);
		};

		const host = startHost(store);
		await waitForOpen(host);
		expect(host.desk.ask('a' as JobId)).toEqual('unsure');
		gate.open();
		await sleep(lookMs);
		expect(host.desk.ask('a' as JobId)).toEqual('queued');
	});

	/** Guards against: a host that reads page after page of a long backlog takes each answer for the end of the stream. */
	it('is not sure while its pages end short of the stream\'s end', async () => {
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
		await waitForOpen(host);
		await sleep(lateMs);
		expect(host.desk.ask('last' as JobId)).toEqual('unsure');
		hasCaughtUp = true;
		while (host.desk.ask('last' as JobId) === 'unsure') {
			// eslint-disable-next-line no-await-in-loop
			await sleep(lookMs);
		}

		expect(host.desk.ask('last' as JobId)).toEqual('queued');
	});

	/** Guards against: an answer that was long on its way is taken for as fresh as its arrival. */
	it('counts the age of an answer from the question', async () => {
		const store = ScriptedStore.create();
		const onItsWayMs = 1800;
		const never = createGate();
		let reads = 0;
		store.readIntake = async fromOffset => {
			reads++;
			await (reads > 1 ? never.opened : sleep(onItsWayMs));
			return createRead([], fromOffset, fromOffset);
		};

		const host = startHost(store);
		await waitForOpen(host);
		await sleep(lateMs);
		expect(host.desk.ask('a' as JobId)).toEqual('unsure');
	});

	/** Guards against: a host that has not read the latest jobs tells callers that few are waiting. */
	it('does not count the jobs that wait from a view that is late', async () => {
		const store = ScriptedStore.create();
		store.loadIntake = async () => {
			await sleep(lateMs);
			return createLoad([]);
		};

		const gate = createGate();
		store.readIntake = async () => {
			await gate.opened;
			return createRead([createJobRecord(0, 'a')], 0, 1);
		};

		const host = startHost(store);
		await waitForOpen(host);
		expect(host.desk.countPending('replans')).toEqual('unsure');
		expect(host.isReady()).toEqual(false);
		gate.open();
		await sleep(lookMs);
		expect(host.desk.countPending('replans')).toEqual(1);
	});

	/** Guards against: a queue that was just added is denied by a host that cannot read the configuration. */
	it('does not deny a queue when it has not read the configuration for long', async () => {
		const store = ScriptedStore.create();
		const host = startHost(store);
		await waitForOpen(host);
		expect(host.desk.findQueue('h', '/new/')).toEqual('no-such-queue');
		store.isOperatorHeard = false;
		await sleep(configApplyMs);
		expect(host.desk.findQueue('h', '/new/')).toEqual('unsure');
		expect(host.desk.findQueue('h', '/replans/a')).toEqual(config.queues[0]!);
	});

	/** Guards against: a record that cannot be unpacked ends the reading of the jobs. */
	it('reads on past a record that cannot be unpacked', async () => {
		const store = ScriptedStore.create();
		const unreadable = {offset: 0, key: 'job:bad', value: new Uint8Array([0xC1])};
		store.loadIntake = async () => createLoad([unreadable, createJobRecord(1, 'a')]);
		const host = startHost(store);
		await waitForOpen(host);
		expect(host.desk.ask('a' as JobId)).toEqual('queued');
	});

	/** Guards against: unknown jobs are never denied, so that callers ask for them again and again. */
	it('is sure where it has read up to the end', async () => {
		const host = startHost(ScriptedStore.create());
		await waitForOpen(host);
		await sleep(lookMs);
		expect(host.desk.ask('a' as JobId)).toEqual('no-such-job');
	});
});
