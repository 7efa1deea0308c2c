/** Jobs that were refused at first keep the instant of their first send, whichever host accepts them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {noteFirstSend, type FirstSends} from './first-sends.js';
import {HandDrivenHost, listStarts} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';

/** Fills the worker's 64 cores, so that one job runs at a time. */
const wholeWorker = createStep({count: 1, need: {cpu: 64_000, memoryMb: 100, gpu: 0}, estimateMs: 1000});
const late = createJob(1, [wholeWorker]);
const timely = createJob(2, [wholeWorker]);
/** The model's objective: twice the work + 600 ms. */
const objectiveMs = 2600;
const keptMs = 30_000;

function getWallNow(host: HandDrivenHost): number {
	return host.state.wallNow;
}

function readRefusals(host: HandDrivenHost, jobId: JobId, sentAt: number): void {
	host.dispatch({type: 'intake/read', records: [{type: 'refusals', holder: 'other', jobs: [{jobId, sentAt: sentAt as Instant}]}]});
}

function getSentAgoMs(host: HandDrivenHost, jobId: JobId): number {
	return host.now - host.state.jobs.get(jobId)!.sentAt;
}

describe('the time of the first send', () => {
	/** Guards against: after an outage, jobs that have missed their objective go before those that can still meet it. */
	it('puts a job that another host refused too long ago behind one that can be in time, though it returned first', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		readRefusals(host, late.jobId, getWallNow(host) - objectiveMs);
		host.submit(late);
		host.submit(timely);
		host.addWorkers('w1');
		host.tick();
		expect(listStarts(host.effects).map(({task}) => task)).toEqual([`${timely.jobId}.0.0.0`]);
	});

	/** Guards against: the record of a refusal, read after the job was accepted elsewhere, has no effect. */
	it('is taken from the record of another host also after the job, the earliest one counts, and the stored one too', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.submit({...late, sentAt: (getWallNow(host) - 700) as Instant});
		expect(getSentAgoMs(host, late.jobId)).toEqual(700);
		readRefusals(host, late.jobId, getWallNow(host) - 900);
		readRefusals(host, late.jobId, getWallNow(host) - 100);
		expect(getSentAgoMs(host, late.jobId)).toEqual(900);
	});

	/** Guards against: the wall clock of one host jumped, and a job counts as sent in the future or days ago. */
	it('is clamped to the time of reading and to 30 s before it', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		readRefusals(host, late.jobId, getWallNow(host) + 60_000);
		host.submit(late);
		host.submit({...timely, sentAt: 0 as Instant});
		expect([late, timely].map(({jobId}) => getSentAgoMs(host, jobId))).toEqual([0, keptMs]);
	});

	/** Guards against: a flood of refused jobs fills the memory of a host of a third of a core. */
	it('is known of a bounded number of jobs, for 30 s', () => {
		const sends: FirstSends = new Map();
		const maxSize = 2000;
		for (let number = 0; number < maxSize + 10; number++) {
			noteFirstSend(sends, `${number}` as JobId, {sentAt: number, now: number, maxSize});
		}

		expect(sends.size).toEqual(maxSize);
		noteFirstSend(sends, 'last' as JobId, {sentAt: 0, now: keptMs + (2 * maxSize), maxSize});
		expect(sends.size).toEqual(1);
	});

	/** Guards against: a key for each host process that ever refused a job stays in the store for good. */
	it('is removed from the store by the leader once every host has read it', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		readRefusals(host, late.jobId, getWallNow(host));
		const isRemoval = (effect: {readonly type: string}) => effect.type === 'intake/remove-refusals';
		expect(host.tick(keptMs).some(effect => isRemoval(effect))).toEqual(false);
		expect(host.tick(keptMs / 2).find(effect => isRemoval(effect))).toEqual({type: 'intake/remove-refusals', holders: ['other']});
		host.dispatch({type: 'intake/read', records: [{type: 'refusals-removed', holder: 'other'}]});
		expect(host.tick(keptMs).some(effect => isRemoval(effect))).toEqual(false);
	});
});
