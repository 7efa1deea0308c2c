/** Leases of running jobs expire while the planner that renews them is paused; the platform's ledger shows what ran when. */
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {
	listOverlaps, listRuns, listRunsOf,
} from './platform-ledger.js';
import {
	createJob, createWorkers, findPlanner, listUnexpectedExits, waitLimitMs, startWorkerFleet, waitForEnds, waitForStep,
} from './worker-fleet.js';

const jobLeaseMs = 3000;
/** Longer than a lease, so that a first run cannot end before its lease expires. */
const runMs = 3 * jobLeaseMs;
const allowedRuns = 2;
const singleRunIds = ['overlay-1', 'overlay-2', 'overlay-3', 'overlay-4'];
const repeatableIds = ['map-1', 'map-2', 'map-3', 'map-4'];
const resumableId = 'archive';
const allIds = [...singleRunIds, ...repeatableIds, resumableId];

type LeasedAttempt = {readonly jobId: string; readonly attempt: number};
type LogPage = {readonly records: ReadonlyArray<{readonly record: {
	readonly schema: string;
	readonly body: Partial<LeasedAttempt> & {readonly leaseUntil: number; readonly attempts?: readonly LeasedAttempt[]};
};}>;};

let fleet: LocalFleet;

/** The latest expiry in the log of the lease of a job's first attempt. */
async function findFirstLease(jobId: string): Promise<number> {
	const {records} = await fleet.callPlatform('GET', '/v1/streams/fleet/records?limit=1000') as LogPage;
	const isFirst = (leased: Partial<LeasedAttempt>) => leased.jobId === jobId && leased.attempt === 1;
	const leases = records.map(({record}) => record).filter(({schema, body}) => (schema === 'job-attempt' && isFirst(body))
		|| (schema === 'job-leases' && (body.attempts ?? []).some(attempt => isFirst(attempt))));
	return Math.max(...leases.map(({body}) => body.leaseUntil));
}

describe('leases that expire while their holder is paused', () => {
	before(async () => {
		fleet = await startWorkerFleet(createWorkers(6), {environment: {RHUBARBLEVER_JOB_LEASE_MS: String(jobLeaseMs)}});
		await fleet.callPlatform('PUT', '/v1/control/faults', {reportLagMs: 300, loseAnswers: {probability: 0.2, seed: 56}});
	});

	after(async () => {
		await fleet.stop();
	});

	it('stop their tasks at the workers; only then does another planner start them again, at most as often as allowed', async () => {
		await fleet.publish([
			...singleRunIds.map(jobId => createJob(jobId, {declaredRunMs: runMs})),
			...repeatableIds.map((jobId, index) => createJob(jobId, {declaredRunMs: index % 2 === 0 ? runMs : 500, allowedRuns})),
			createJob(resumableId, {declaredRunMs: runMs, allowedRuns, isResumable: true}),
		]);
		await waitForStep(fleet, singleRunIds, 'running');
		await waitUntil('the tasks run', async () => {
			const runs = listRuns(await fleet.readPlatformLedger());
			return runs.length >= allIds.length;
		}, waitLimitMs);
		const frozen = await findPlanner(fleet);
		const observer = fleet.entryHosts.find(host => host !== frozen)!;
		frozen.running.sendSignal('SIGSTOP');
		await waitUntil('another entry host is the planner', async () => await findPlanner(fleet, observer) !== frozen, waitLimitMs);
		await waitUntil('a second run has begun', async () => listRunsOf(await fleet.readPlatformLedger(), 'map-1').length > 1, waitLimitMs);
		frozen.running.sendSignal('SIGCONT');
		await waitForEnds(fleet, allIds);
	});

	it('no task ran past its lease, no runs of a job overlap, and none ran more often than allowed', async () => {
		const ledger = await fleet.readPlatformLedger();
		expect(listOverlaps(ledger)).toEqual([]);
		for (const jobId of singleRunIds) {
			expect(listRunsOf(ledger, jobId).map(run => run.end)).toEqual(['task-lapsed']);
		}

		for (const jobId of [...repeatableIds, resumableId]) {
			expect(listRunsOf(ledger, jobId).length).toBeLessThanOrEqual(allowedRuns);
			expect(listRunsOf(ledger, jobId).at(-1)?.end).toEqual('task-succeeded');
		}

		expect(listUnexpectedExits(fleet.entryHosts)).toEqual([]);
	});

	it('a second run began only after the lease of the first had expired', async () => {
		const ledger = await fleet.readPlatformLedger();
		const secondRuns = repeatableIds.map(jobId => listRunsOf(ledger, jobId)[1]).filter(run => run !== undefined);
		expect(secondRuns).not.toBeEmpty();
		for (const run of secondRuns) {
			// eslint-disable-next-line no-await-in-loop
			const leaseUntil = await findFirstLease(run.taskId);
			expect(leaseUntil).toBeGreaterThan(0);
			expect(run.startedAt).toBeGreaterThan(leaseUntil);
		}
	});
});
