/** One worker that fails every task, together with jobs that fail on every worker: only that worker is quarantined. */
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {listOverlaps, listRunsOf} from './platform-ledger.js';
import {
	createJob, createWorkers, waitLimitMs, startWorkerFleet, waitForEnds, waitForStep,
} from './worker-fleet.js';

type LogPage = {readonly records: ReadonlyArray<{readonly record: {readonly schema: string; readonly body: {readonly worker?: string}}}>};

const badWorker = 'worker-1';
const workers = createWorkers(8);
const rounds = 4;
const allowedRuns = 4;

let fleet: LocalFleet;

async function listSetAside(): Promise<string[]> {
	const {records} = await fleet.callPlatform('GET', '/v1/streams/fleet/records?limit=1000') as LogPage;
	return records.map(({record}) => record).filter(({schema}) => schema === 'worker-set-aside').map(({body}) => body.worker ?? '');
}

function listIds(prefix: string, count: number, round: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${round}-${index}`);
}

describe('a bad worker and bad jobs at once', () => {
	before(async () => {
		fleet = await startWorkerFleet(workers);
		await fleet.callPlatform('PUT', '/v1/control/faults', {
			loseAnswers: {probability: 0.1, seed: 57}, taskTruths: [{taskIdPrefix: 'bad-', willFail: true}],
		});
		await fleet.callPlatform('POST', `/v1/control/workers/${badWorker}`, {change: 'fail-tasks'});
	});

	after(async () => {
		await fleet.stop();
	});

	it('quarantines only the bad worker, and all good jobs succeed', async () => {
		for (let round = 0; round < rounds; round++) {
			const goodIds = listIds('good', 24, round);
			const singleIds = listIds('bad-single', 8, round);
			const repeatedIds = listIds('bad-repeated', 6, round);
			/* eslint-disable no-await-in-loop */
			await fleet.publish([
				...repeatedIds.map(jobId => createJob(jobId, {declaredRunMs: 50, allowedRuns})),
				...singleIds.map(jobId => createJob(jobId, {declaredRunMs: 50, team: 'careless'})),
				...goodIds.map(jobId => createJob(jobId, {declaredRunMs: 300, allowedRuns, cores: 4})),
			]);
			await waitForStep(fleet, goodIds, 'succeeded');
			await waitForEnds(fleet, [...singleIds, ...repeatedIds]);
			/* eslint-enable no-await-in-loop */
		}

		await waitUntil('the bad worker is quarantined', async () => {
			const setAside = await listSetAside();
			return setAside.length > 0;
		}, waitLimitMs);
		expect([...new Set(await listSetAside())]).toEqual([badWorker]);
	});

	it('no job ran more often than allowed, and the bad worker got no task once it was quarantined', async () => {
		const ledger = await fleet.readPlatformLedger();
		expect(listOverlaps(ledger)).toEqual([]);
		for (let round = 0; round < rounds; round++) {
			for (const jobId of [...listIds('good', 24, round), ...listIds('bad-repeated', 6, round)]) {
				expect(listRunsOf(ledger, jobId).length).toBeLessThanOrEqual(allowedRuns);
			}

			expect(listIds('bad-single', 8, round).map(jobId => listRunsOf(ledger, jobId).length)).toEqual(Array.from({length: 8}, () => 1));
		}

		const lastRound = ledger.filter(entry => entry.event === 'task-started' && entry.taskId?.startsWith(`good-${rounds - 1}-`));
		expect(lastRound.filter(entry => entry.hostId === badWorker)).toEqual([]);
	});
});
