/** Hundreds of jobs that wait, start or run are cancelled at once, each twice: all end as cancelled and none runs afterwards. */
import {
	after, before, describe, it,
} from 'node:test';
import {sleep, waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {listRuns} from './platform-ledger.js';
import {
	createJob, createWorkers, listUnexpectedExits, waitLimitMs, startWorkerFleet, waitForEnds, waitForStep,
} from './worker-fleet.js';

const firstIds = Array.from({length: 200}, (_, index) => `archive-${index}`);
const lastIds = Array.from({length: 100}, (_, index) => `map-${index}`);
const allIds = [...firstIds, ...lastIds];
const otherIds = ['overlay-1', 'overlay-2'];
const runMs = 600_000;
const publishLimit = 100;
/** Long enough for calls still in flight to show in the ledger. */
const observationMs = 1500;

let fleet: LocalFleet;

async function publishJobs(jobIds: readonly string[], isResumable: boolean): Promise<void> {
	for (let first = 0; first < jobIds.length; first += publishLimit) {
		const chunk = jobIds.slice(first, first + publishLimit);
		// eslint-disable-next-line no-await-in-loop
		await fleet.publish(chunk.map(jobId => createJob(jobId, {declaredRunMs: runMs, allowedRuns: 3, isResumable})));
	}
}

/** Cancels all jobs through one entry host, with record ids that no other host uses. */
async function cancelAll(hostIndex: number): Promise<void> {
	for (let first = 0; first < allIds.length; first += publishLimit) {
		const chunk = allIds.slice(first, first + publishLimit);
		// eslint-disable-next-line no-await-in-loop
		await fleet.publish(chunk.map(jobId => ({
			recordId: `cancel-${hostIndex}-${jobId}`, schema: 'job-cancel', version: 1, body: {jobId},
		})), fleet.entryHosts[hostIndex]);
	}
}

describe('hundreds of cancels at once', () => {
	before(async () => {
		fleet = await startWorkerFleet(createWorkers(6));
		await fleet.callPlatform('PUT', '/v1/control/faults', {reportLagMs: 300, loseAnswers: {probability: 0.1, seed: 59}});
	});

	after(async () => {
		await fleet.stop();
	});

	it('all jobs end as cancelled, and none runs afterwards', async () => {
		await publishJobs(firstIds, false);
		await waitUntil('some jobs run while others wait', async () => listRuns(await fleet.readPlatformLedger()).length > 50, waitLimitMs);
		await publishJobs(lastIds, true);
		await Promise.all([cancelAll(0), cancelAll(1)]);
		await waitForStep(fleet, allIds, 'cancelled');
		const ledger = await fleet.readPlatformLedger();
		const runs = listRuns(ledger);
		expect(runs.length).toBeLessThan(allIds.length);
		expect(runs.map(run => run.end).filter(end => end !== 'task-stopped')).toEqual([]);
		await sleep(observationMs);
		const later = await fleet.readPlatformLedger();
		expect(later.slice(ledger.length)).toEqual([]);
		expect(new Set(runs.map(run => run.taskId)).size).toEqual(runs.length);
	});

	it('repeated cancels change nothing, and other jobs are unaffected', async () => {
		const before = await fleet.readPlatformLedger();
		await fleet.publish(otherIds.map(jobId => createJob(jobId)));
		await cancelAll(2);
		await waitForEnds(fleet, otherIds);
		await waitForStep(fleet, otherIds, 'succeeded');
		await waitForStep(fleet, allIds, 'cancelled');
		const ledger = await fleet.readPlatformLedger();
		expect(ledger.slice(before.length).filter(entry => !otherIds.includes(entry.taskId ?? ''))).toEqual([]);
		expect(listUnexpectedExits(fleet.entryHosts)).toEqual([]);
	});
});
