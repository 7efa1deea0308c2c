/** Jobs with real processes: the planner killed and frozen, answers of the platform lost, and its ledger the judge of how often each job ran. */
import {
	after, before, describe, it,
} from 'node:test';
import {listedHostSchema} from '@rhubarblever/core';
import {LocalFleet, waitUntil, type LocalEntryHost} from '@rhubarblever/stand-ins';
import {expect} from 'earl';

type LedgerEntry = {readonly at: number; readonly event: string; readonly hostId: string; readonly taskId?: string};
type JobAnswer = {readonly jobId: string; readonly step: string; readonly runs: number; readonly parkedReason?: string};
type FleetAnswer = {readonly plannerLease?: {readonly holder: string}; readonly jobs: readonly JobAnswer[]};

const zones = ['attica-a', 'attica-b', 'attica-c'];
const workerCores = 32;
const workers = Array.from({length: 6}, (_, index) => listedHostSchema.parse({
	hostId: `worker-${index + 1}`,
	role: 'worker',
	availabilityZone: zones[index % zones.length],
	rack: `rack-${Math.floor(index / 2)}`,
	address: '127.0.0.1:1',
	pool: 'renders',
	state: 'live',
	cores: workerCores,
	memoryBytes: 128e9,
	accelerators: 0,
}));
const settleMs = 60_000;
const urgentBoundMs = 1500;

let fleet: LocalFleet;

async function fetchAnswer(host: LocalEntryHost): Promise<FleetAnswer> {
	return await fleet.fetchFleet(host) as FleetAnswer;
}

async function fetchJob(jobId: string): Promise<JobAnswer | undefined> {
	const answer = await fetchAnswer(findRunningHost());
	return answer.jobs.find(job => job.jobId === jobId);
}

function findRunningHost(): LocalEntryHost {
	return fleet.entryHosts.find(host => host.running.isRunning)!;
}

async function findHolderIndex(): Promise<number> {
	const answer = await fetchAnswer(findRunningHost());
	return fleet.entryHosts.findIndex(host => host.hostId === answer.plannerLease?.holder);
}

async function readStarts(jobId: string): Promise<LedgerEntry[]> {
	const answer = await fleet.callPlatform('GET', '/v1/control/ledger') as {readonly entries: readonly LedgerEntry[]};
	return answer.entries.filter(entry => entry.event === 'task-started' && entry.taskId === jobId);
}

function createJob(jobId: string, changes: Record<string, unknown> = {}) {
	return {
		recordId: `accept-${jobId}`,
		schema: 'job',
		version: 1,
		body: {
			jobId, pool: 'renders', team: 'newsroom', jobClass: 'normal', cores: 2, memoryBytes: 1e9, declaredRunMs: 500, allowedRuns: 1, ...changes,
		},
	};
}

async function waitForStep(jobIds: readonly string[], step: string): Promise<void> {
	await waitUntil(`${jobIds.join(', ')}: ${step}`, async () => {
		const answer = await fetchAnswer(findRunningHost());
		return jobIds.every(jobId => answer.jobs.some(job => job.jobId === jobId && job.step === step));
	}, settleMs);
}

describe('jobs over real processes', () => {
	before(async () => {
		fleet = await LocalFleet.create({
			availabilityZones: zones, entryHostsPerZone: 1, targetsPerZone: 0, services: [], hosts: workers,
		});
		await fleet.publish([
			{
				recordId: 'pool', schema: 'pool', version: 1, body: {pool: 'renders', minimumHealthyHosts: 1},
			},
			...workers.map(({hostId, availabilityZone, rack}) => ({
				recordId: `host-${hostId}`, schema: 'host', version: 1, body: {
					hostId, pool: 'renders', availabilityZone, rack,
				},
			})),
		]);
	});

	after(async () => {
		await fleet.stop();
	});

	it('runs each accepted job once, though answers of the platform get lost', async () => {
		await fleet.callPlatform('PUT', '/v1/control/faults', {loseAnswers: {probability: 0.2, seed: 5}});
		const ids = Array.from({length: 12}, (_, index) => `map-${index}`);
		await fleet.publish(ids.map(id => createJob(id)));
		await waitForStep(ids, 'succeeded');
		await fleet.callPlatform('PUT', '/v1/control/faults', {loseAnswers: null});
		const starts = await Promise.all(ids.map(async id => readStarts(id)));
		expect(starts.map(list => list.length)).toEqual(ids.map(() => 1));
	});

	it('starts an urgent job within the bound', async () => {
		const acceptedAt = Date.now();
		await fleet.publish([createJob('warning', {jobClass: 'urgent', declaredRunMs: 100})]);
		await waitForStep(['warning'], 'succeeded');
		const starts = await readStarts('warning');
		expect(starts.length).toEqual(1);
		expect(starts[0]!.at - acceptedAt).toBeLessThan(urgentBoundMs);
	});

	it('parks a job that no worker can ever hold, with the reason, and cancels idempotently', async () => {
		await fleet.publish([createJob('archive', {cores: 500})]);
		await waitForStep(['archive'], 'parked');
		const parked = await fetchJob('archive');
		expect(parked?.parkedReason ?? '').toMatchRegex(/500 cores/);
		for (const recordId of ['cancel-1', 'cancel-2']) {
			// eslint-disable-next-line no-await-in-loop
			await fleet.publish([{
				recordId, schema: 'job-cancel', version: 1, body: {jobId: 'archive'},
			}]);
		}

		await waitForStep(['archive'], 'cancelled');
		expect(await readStarts('archive')).toEqual([]);
	});

	it('stops a running job that is cancelled', async () => {
		await fleet.publish([createJob('reanalysis', {declaredRunMs: 600_000})]);
		await waitForStep(['reanalysis'], 'running');
		await fleet.publish([{
			recordId: 'cancel-reanalysis', schema: 'job-cancel', version: 1, body: {jobId: 'reanalysis'},
		}]);
		await waitForStep(['reanalysis'], 'cancelled');
		const starts = await readStarts('reanalysis');
		expect(starts.length).toBeLessThanOrEqual(1);
	});

	it('goes on after the kill of the planner, and no job runs twice', async () => {
		const ids = Array.from({length: 8}, (_, index) => `roster-${index}`);
		await fleet.publish(ids.map(id => createJob(id, {declaredRunMs: 3000})));
		await waitForStep(ids.slice(0, 1), 'running');
		const holder = await findHolderIndex();
		await fleet.killEntryHost(holder);
		await waitForStep(ids, 'succeeded');
		await fleet.waitForReady(await fleet.restartEntryHost(holder));
		const starts = await Promise.all(ids.map(async id => readStarts(id)));
		expect(starts.map(list => list.length)).toEqual(ids.map(() => 1));
	});

	it('is not hurt by a planner that was frozen and wakes up', async () => {
		const ids = Array.from({length: 8}, (_, index) => `overlay-${index}`);
		await fleet.publish(ids.map(id => createJob(id, {declaredRunMs: 3000})));
		await waitForStep(ids.slice(0, 1), 'running');
		const frozen = fleet.entryHosts[await findHolderIndex()]!;
		const awake = fleet.entryHosts.find(host => host !== frozen)!;
		frozen.running.sendSignal('SIGSTOP');
		await waitUntil('another planner has taken over', async () => {
			const answer = await fetchAnswer(awake);
			return answer.plannerLease !== undefined && answer.plannerLease.holder !== frozen.hostId;
		}, settleMs);
		frozen.running.sendSignal('SIGCONT');
		await waitForStep(ids, 'succeeded');
		const starts = await Promise.all(ids.map(async id => readStarts(id)));
		expect(starts.map(list => list.length)).toEqual(ids.map(() => 1));
	});

	it('sets a worker aside that fails everything, and its jobs succeed elsewhere', async () => {
		await fleet.callPlatform('POST', '/v1/control/workers/worker-1', {change: 'fail-tasks'});
		const ids = Array.from({length: 10}, (_, index) => `chart-${index}`);
		await fleet.publish(ids.map(id => createJob(id, {declaredRunMs: 300, allowedRuns: 4})));
		await waitForStep(ids, 'succeeded');
		const jobs = await Promise.all(ids.map(async id => fetchJob(id)));
		expect(jobs.every(job => (job?.runs ?? 9) <= 4)).toEqual(true);
	});
});
