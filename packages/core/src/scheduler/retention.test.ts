/** Removal of finished jobs, which takes two steps (intake, then ledger): an interrupted removal must not start a job again. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {
	createProgress, createRow, HandDrivenHost, listStarts,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';
import type {LedgerEntry} from './events.js';

const job = createJob(1, [createStep({count: 1})]);
const {jobId} = job;
const statusRetentionMs = 10_000;
const keptMs = 2 * statusRetentionMs;

const completed: LedgerEntry = {
	offset: 0, record: {
		type: 'progress', jobId, progress: {
			phase: 'completed', finishedOccurrences: [], rows: [], finishedAt: 0 as Instant,
		},
	},
};

function createLeader(): HandDrivenHost {
	const host = HandDrivenHost.create({statusRetentionMs});
	host.submit(job);
	host.takeLeadership([completed]);
	return host;
}

function listRemovals(effects: readonly SchedulerEffect[]): string[][] {
	return effects.filter(effect => effect.type === 'intake/remove').map(effect => [...effect.jobIds]);
}

function listRemovedProgress(effects: readonly SchedulerEffect[]): string[] {
	return effects.filter(effect => effect.type === 'ledger/commit').flatMap(({records}) => records)
		.filter(record => record.type === 'progress-removed').map(record => record.jobId);
}

function readRemoval(host: HandDrivenHost): SchedulerEffect[] {
	return host.dispatch({type: 'intake/read', records: [{type: 'job-removed', jobId}, {type: 'cancel-removed', jobId}]});
}

describe('the removal of a job', () => {
	it('removes the progress only after the job has left the intake, as a job without progress would be started', () => {
		const host = createLeader();
		const effects = host.tick(keptMs + 6000);
		expect(listRemovals(effects)[0]).toEqual([jobId]);
		expect(listRemovedProgress(effects)).toEqual([]);
		expect(listRemovedProgress([...readRemoval(host), ...host.tick(100)])).toEqual([jobId]);
		expect(host.state.jobs.has(jobId)).toEqual(false);
	});

	it('is requested again until it appears in the intake, and the job stays known until then', () => {
		const host = createLeader();
		expect(listRemovals(host.tick(keptMs + 16_000)).length >= 2).toEqual(true);
		expect(host.state.jobs.get(jobId)?.phase).toEqual('completed');
		readRemoval(host);
		expect(listRemovals(host.tick(10_000))).toEqual([]);
	});

	it('is recognized by a host that has read only the removal of the progress: as the leader it does not start the job', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.dispatch({type: 'ledger/loaded', entries: [completed], nextOffset: 1});
		host.dispatch({type: 'ledger/read', entries: [{offset: 1, record: {type: 'progress-removed', jobId}}], nextOffset: 2});
		const effects = host.takeLeadership([{offset: 1, record: {type: 'progress-removed', jobId}}]);
		host.addWorkers('w1');
		expect(listStarts([...effects, ...host.tick(200), ...host.effects])).toEqual([]);
		expect(host.state.liveJobs.size).toEqual(0);
	});

	it('is finished by the next leader', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.dispatch({type: 'ledger/loaded', entries: [completed], nextOffset: 1});
		readRemoval(host);
		expect(listRemovedProgress([...host.takeLeadership([completed]), ...host.tick(100)])).toEqual([jobId]);
	});

	it('is not repeated by the next leader if it was complete', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.dispatch({type: 'ledger/loaded', entries: [completed], nextOffset: 1});
		readRemoval(host);
		host.dispatch({type: 'ledger/read', entries: [{offset: 1, record: {type: 'progress-removed', jobId}}], nextOffset: 2});
		expect(listRemovedProgress([...host.takeLeadership([{offset: 1, record: {type: 'lease', lease: {holder: 'other', token: 2, isReleased: false}}}]), ...host.tick(100)])).toEqual([]);
	});

	it('is not repeated by a leader that has since read the whole ledger again', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.dispatch({type: 'ledger/loaded', entries: [completed], nextOffset: 1});
		readRemoval(host);
		expect(listRemovedProgress([...host.takeLeadership(), ...host.tick(100)])).toEqual([]);
	});

	it('does not affect a running job', () => {
		const host = HandDrivenHost.create({statusRetentionMs});
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow()])]);
		expect(listRemovals(host.tick(keptMs + 6000))).toEqual([]);
	});
});

describe('the definition of a job', () => {
	function listShortened(effects: readonly SchedulerEffect[]) {
		return effects.filter(effect => effect.type === 'intake/shorten').flatMap(({definitions}) => definitions);
	}

	/** Guards against hosts that are not ready for seconds after a restart because they load the texts of all jobs of the last minutes. */
	it('is shortened once the job has ended, and the job stays known', () => {
		const host = createLeader();
		const [definition] = listShortened(host.tick(100));
		expect(definition).toEqual(expect.subset({
			jobId, queue: job.queue, spec: '', steps: [],
		}));
		host.submit(definition!);
		expect(host.state.jobs.get(jobId)?.definition.steps).toEqual([]);
		expect(listShortened(host.tick(10_000))).toEqual([]);
		expect(host.state.jobs.get(jobId)?.phase).toEqual('completed');
	});

	it('is kept while the job may still start or run', () => {
		const host = HandDrivenHost.create({statusRetentionMs});
		host.takeLeadership();
		host.addWorkers('w1');
		const [start] = listStarts(host.submit(job));
		host.answerStart(start!);
		expect(listShortened(host.tick(10_000))).toEqual([]);
		host.submit({...job, steps: []});
		expect(host.state.jobs.get(jobId)?.definition).toEqual(job);
	});

	it('in its short form starts nothing under a new leader', () => {
		const host = HandDrivenHost.create({statusRetentionMs});
		const short = {...job, spec: '', steps: []};
		host.submit(short);
		host.takeLeadership([completed]);
		host.addWorkers('w1');
		expect(listStarts(host.tick(1000))).toEqual([]);
		expect(host.state.jobs.get(jobId)?.phase).toEqual('completed');
	});
});
