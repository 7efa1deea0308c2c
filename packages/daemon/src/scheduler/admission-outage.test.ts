/** A host with a long wait at the leader refuses new jobs before anything is stored; without the store it tells of the outage instead. */
import {
	afterEach, describe, it,
} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Instant, JobId} from '@rhubarblever/core';
import type {JobDefinition} from '@rhubarblever/core/scheduler';
import {expect} from 'earl';
import {encodeLedger} from './codec.js';
import type {SchedulerHost} from './scheduler-host.js';
import {createRead, ScriptedStore, startHost} from './testing/scripted-store.js';

const waitMs = 3000;
const job: JobDefinition = {
	jobId: '0123456789abcdef' as JobId, queue: 'replans', pool: 'trucks', spec: '', runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0, steps: [{
		count: 1, need: {cpu: 1, memoryMb: 1, gpu: 0}, estimateMs: 100, dependsOn: [], isCheckpointing: false, isGang: false, isSameRack: false, requiredLabel: '', dataRack: '', maxPerWorker: 0, isSpeculative: false, isLongRunning: false, latencyTargetMs: 0, isFiller: false, maxUnavailable: 0,
	}],
};

function encodeLoad(offset: number) {
	return {
		offset, ...encodeLedger({
			type: 'load', load: {
				token: 1, computedAt: Date.now() as Instant, shares: [], waits: [{
					pool: 'trucks', priority: 0, startMs: 60_000, backlogMs: 60_000, delayMs: 60_000, excessMs: 60_000,
				}],
			},
		}),
	};
}

describe('admission at a host with a store', () => {
	let host: SchedulerHost | undefined;

	afterEach(() => {
		host?.close();
	});

	/** Guards against: a refused job is stored all the same, a host that has read no figures refuses, and callers return each second during an outage. */
	it('refuses without an append once it has read of the wait, and while the store is away tells a time that grows', async () => {
		const store = ScriptedStore.create();
		let isAway = false;
		let jobAppends = 0;
		store.append = async (_stream, records, conditions) => {
			jobAppends += conditions?.at === undefined && records.length > 0 ? 1 : 0;
			return {type: 'refused', isUnreachable: isAway};
		};

		store.readIntake = async (fromOffset, readMs) => {
			await sleep(Math.min(readMs, 100));
			return isAway ? {type: 'unavailable'} : createRead([], fromOffset, fromOffset);
		};

		let hasLoad = false;
		store.readLedger = async (fromOffset, readMs) => {
			await sleep(Math.min(readMs, 50));
			if (isAway) {
				return {type: 'unavailable'};
			}

			return createRead(hasLoad ? [encodeLoad(fromOffset)] : [], fromOffset, fromOffset + (hasLoad ? 1 : 0));
		};

		host = startHost(store, {isAdmissionEnabled: true});
		while (!host.jobApi.isInitialized()) {
			// eslint-disable-next-line no-await-in-loop
			await sleep(10);
		}

		expect(await host.jobApi.submit(job, waitMs)).toEqual('refused');
		expect(jobAppends > 0).toEqual(true);
		hasLoad = true;
		await sleep(1500);
		jobAppends = 0;
		const refusal = await host.jobApi.submit({...job, jobId: 'fedcba9876543210' as JobId}, waitMs);
		expect(typeof refusal === 'object' && refusal.retryAfterS >= 1 && refusal.retryAfterS <= 8).toEqual(true);
		// The record of what was refused lately may be among the appends, the job not.
		expect(jobAppends <= 1).toEqual(true);
		isAway = true;
		store.isOperatorStreamReachable = false;
		await sleep(500);
		expect(await host.jobApi.submit(job, waitMs)).toEqual('refused');
		expect(host.jobApi.drawRetryAfterS()).toEqual(1);
		await sleep(4500);
		await host.jobApi.submit(job, waitMs);
		const retryAfterS = host.jobApi.drawRetryAfterS();
		// The host asks an unresponsive store until it answers.
		isAway = false;
		await sleep(600);
		expect(retryAfterS >= 2).toEqual(true);
		expect(host.jobApi.drawRetryAfterS()).toEqual(1);
	});
});
