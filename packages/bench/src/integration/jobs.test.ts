/** Jobs with real processes while planners are killed or frozen and answers of the platform are lost; the platform's ledger shows how often each job ran. */
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil, type LocalFleet, type PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {
	createJob, createWorkers, fetchFleetView, findPlanner, waitLimitMs, startWorkerFleet, waitForStep, type JobView,
} from './worker-fleet.js';

const urgentBoundMs = 1500;

let fleet: LocalFleet;

async function fetchJob(jobId: string): Promise<JobView | undefined> {
	const {jobs} = await fetchFleetView(fleet);
	return jobs.find(job => job.jobId === jobId);
}

async function readStarts(jobId: string): Promise<PlatformLedgerEntry[]> {
	const ledger = await fleet.readPlatformLedger();
	return ledger.filter(entry => entry.event === 'task-started' && entry.taskId === jobId);
}

describe('jobs over real processes', () => {
	before(async () => {
		fleet = await startWorkerFleet(createWorkers(6));
	});

	after(async () => {
		await fleet.stop();
	});

	it('runs each accepted job once although answers of the platform are lost', async () => {
		await fleet.callPlatform('PUT', '/v1/control/faults', {loseAnswers: {probability: 0.2, seed: 5}});
		const ids = Array.from({length: 12}, (_, index) => `map-${index}`);
		await fleet.publish(ids.map(id => createJob(id)));
		await waitForStep(fleet, ids, 'succeeded');
		await fleet.callPlatform('PUT', '/v1/control/faults', {loseAnswers: null});
		const starts = await Promise.all(ids.map(async id => readStarts(id)));
		expect(starts.map(list => list.length)).toEqual(ids.map(() => 1));
	});

	it('starts an urgent job within the bound', async () => {
		const acceptedAt = Date.now();
		await fleet.publish([createJob('warning', {jobClass: 'urgent', declaredRunMs: 100})]);
		await waitForStep(fleet, ['warning'], 'succeeded');
		const starts = await readStarts('warning');
		expect(starts.length).toEqual(1);
		expect(starts[0]!.at - acceptedAt).toBeLessThan(urgentBoundMs);
	});

	it('parks a job that is too large for every worker, with the reason, and cancels it idempotently', async () => {
		await fleet.publish([createJob('archive', {cores: 500})]);
		await waitForStep(fleet, ['archive'], 'parked');
		const parked = await fetchJob('archive');
		expect(parked?.parkedReason ?? '').toMatchRegex(/500 cores/);
		for (const recordId of ['cancel-1', 'cancel-2']) {
			// eslint-disable-next-line no-await-in-loop
			await fleet.publish([{
				recordId, schema: 'job-cancel', version: 1, body: {jobId: 'archive'},
			}]);
		}

		await waitForStep(fleet, ['archive'], 'cancelled');
		expect(await readStarts('archive')).toEqual([]);
	});

	it('stops a running job that is cancelled', async () => {
		await fleet.publish([createJob('reanalysis', {declaredRunMs: 600_000})]);
		await waitForStep(fleet, ['reanalysis'], 'running');
		await fleet.publish([{
			recordId: 'cancel-reanalysis', schema: 'job-cancel', version: 1, body: {jobId: 'reanalysis'},
		}]);
		await waitForStep(fleet, ['reanalysis'], 'cancelled');
		const starts = await readStarts('reanalysis');
		expect(starts.length).toBeLessThanOrEqual(1);
	});

	it('continues after the planner is killed, and no job runs twice', async () => {
		const ids = Array.from({length: 8}, (_, index) => `roster-${index}`);
		await fleet.publish(ids.map(id => createJob(id, {declaredRunMs: 3000})));
		await waitForStep(fleet, ids.slice(0, 1), 'running');
		const holder = fleet.entryHosts.indexOf(await findPlanner(fleet));
		await fleet.killEntryHost(holder);
		await waitForStep(fleet, ids, 'succeeded');
		await fleet.waitForReady(await fleet.restartEntryHost(holder));
		const starts = await Promise.all(ids.map(async id => readStarts(id)));
		expect(starts.map(list => list.length)).toEqual(ids.map(() => 1));
	});

	it('runs no job twice when a frozen planner resumes', async () => {
		const ids = Array.from({length: 8}, (_, index) => `overlay-${index}`);
		await fleet.publish(ids.map(id => createJob(id, {declaredRunMs: 3000})));
		await waitForStep(fleet, ids.slice(0, 1), 'running');
		const frozen = await findPlanner(fleet);
		const awake = fleet.entryHosts.find(host => host !== frozen)!;
		frozen.running.sendSignal('SIGSTOP');
		await waitUntil('another planner has taken over', async () => {
			const answer = await fetchFleetView(fleet, awake);
			return answer.plannerLease !== undefined && answer.plannerLease.holder !== frozen.hostId;
		}, waitLimitMs);
		frozen.running.sendSignal('SIGCONT');
		await waitForStep(fleet, ids, 'succeeded');
		const starts = await Promise.all(ids.map(async id => readStarts(id)));
		expect(starts.map(list => list.length)).toEqual(ids.map(() => 1));
	});

	it('quarantines a worker that fails every task, and its jobs succeed elsewhere', async () => {
		await fleet.callPlatform('POST', '/v1/control/workers/worker-1', {change: 'fail-tasks'});
		const ids = Array.from({length: 10}, (_, index) => `chart-${index}`);
		await fleet.publish(ids.map(id => createJob(id, {declaredRunMs: 300, allowedRuns: 4})));
		await waitForStep(fleet, ids, 'succeeded');
		const jobs = await Promise.all(ids.map(async id => fetchJob(id)));
		expect(jobs.every(job => (job?.runs ?? 9) <= 4)).toEqual(true);
	});
});
