/** A host that reads its streams with pauses reads them at once when an answer, or a claim of leadership, depends on it. */
import {
	afterEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Instant, JobId} from '@rhubarblever/core';
import type {SchedulerSettings} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {encodeLedger} from './codec.js';
import type {KeyedRecord, KeyedStore, ReadOutcome} from './ports.js';
import type {SchedulerHost} from './scheduler-host.js';
import {
	createJobRecord, createLoad, createRead, ScriptedStore, startHost,
} from './testing/scripted-store.js';

const pollMs = 10;
/** Longer than what was read counts as up to date. */
const outdatedMs = 100;
const jobId = 'a' as JobId;
const neverAnswered = new Promise<never>(() => {
	// A call that is never answered.
});

const completed: KeyedRecord = {
	offset: 0, ...encodeLedger({
		type: 'progress', jobId, progress: {
			phase: 'completed', finishedOccurrences: [], rows: [], finishedAt: 0 as Instant,
		},
	}),
};

/** A long poll that never ends: only a read that does not wait is answered. */
async function readAtOnce(records: readonly KeyedRecord[], fromOffset: number, waitMs: number): Promise<ReadOutcome> {
	await (waitMs > 0 ? neverAnswered : undefined);
	return createRead(records.slice(fromOffset), fromOffset, records.length);
}

describe('a host that pauses between its reads', () => {
	const hosts: SchedulerHost[] = [];

	afterEach(() => {
		for (const host of hosts.splice(0)) {
			host.close();
		}
	});

	async function startInitialized(store: KeyedStore, changes: Partial<SchedulerSettings> = {}): Promise<SchedulerHost> {
		const host = startHost(store, changes);
		hosts.push(host);
		while (!host.jobApi.isInitialized()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(pollMs);
		}

		return host;
	}

	it('finds a job that another host has accepted since its last read', async () => {
		const store = ScriptedStore.create();
		store.readIntake = async (fromOffset, waitMs) => readAtOnce([createJobRecord(0, jobId)], fromOffset, waitMs);
		const host = await startInitialized(store);
		await sleep(outdatedMs);
		expect(await host.jobApi.fetchPhase(jobId)).toEqual('queued');
	});

	it('tells that a job is completed as soon as that is stored', async () => {
		const store = ScriptedStore.create();
		store.loadIntake = async () => createLoad([createJobRecord(0, jobId)]);
		store.readLedger = async (fromOffset, waitMs) => readAtOnce([completed], fromOffset, waitMs);
		const host = await startInitialized(store);
		await sleep(outdatedMs);
		expect(host.jobApi.getPhase(jobId)).toEqual('queued');
		expect(await host.jobApi.fetchPhase(jobId)).toEqual('completed');
	});

	it('asks the store once for callers who ask at the same time', async () => {
		const store = ScriptedStore.create();
		let reads = 0;
		store.readIntake = async (fromOffset, waitMs) => {
			reads += waitMs === 0 ? 1 : 0;
			await (waitMs > 0 ? neverAnswered : sleep(pollMs));
			return createRead([], fromOffset, fromOffset);
		};

		const host = await startInitialized(store);
		await sleep(outdatedMs);
		const phases = await Promise.all(Array.from({length: 50}, async (_, index) => host.jobApi.fetchPhase(`job-${index}` as JobId)));
		expect(new Set(phases)).toEqual(new Set(['no-such-job']));
		expect(reads).toEqual(1);
	});

	it('answers from what it knows if the store does not answer in time', async () => {
		const store = ScriptedStore.create();
		store.loadIntake = async () => createLoad([createJobRecord(0, jobId)]);
		store.readLedger = async () => neverAnswered;
		const host = await startInitialized(store);
		await sleep(outdatedMs);
		expect(await host.jobApi.fetchPhase(jobId)).toEqual('queued');
	});

	/** Guards against claims of leadership by hosts that have merely not looked whether the leader has written. */
	it('does not claim leadership while the leader writes', async () => {
		const store = ScriptedStore.create();
		const heartbeat = encodeLedger({type: 'lease', lease: {holder: 'other', token: 1, isReleased: false}});
		store.readLedger = async fromOffset => createRead([{offset: fromOffset, ...heartbeat}], fromOffset, fromOffset + 1);
		await startInitialized(store, {capacityShortfall: 1});
		// The first claims count from a full read, before any record has followed it.
		await sleep(1000);
		store.claims = 0;
		await sleep(4000);
		expect(store.claims).toEqual(0);
	});
});
