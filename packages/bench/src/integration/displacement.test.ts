/** Urgent jobs on a full fleet: batch jobs are checkpointed and stopped to make room, and use up none of their allowed runs. The platform's ledger gives the order of events. */
import {
	after, before, describe, it,
} from 'node:test';
import {waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {
	listOverlaps, listRuns, listRunsOf,
} from './platform-ledger.js';
import {
	createJob, createWorkers, waitLimitMs, startWorkerFleet, waitForStep,
} from './worker-fleet.js';

const workerCount = 6;
const workerCores = 32;
const batchCores = 8;
const urgentCores = 24;
const batchIds = Array.from({length: workerCount * workerCores / batchCores}, (_, index) => `archive-${index}`);
const nonResumableIds = ['map-0', 'map-1'];
const urgentIds = ['warning-0', 'warning-1', 'warning-2', 'warning-3'];
/** A tenth of the cores is reserved for urgent work; beside this many batch jobs, what is free has no room for even one of the urgent jobs. */
const runningWhenFull = 21;
const batchRunMs = 6000;

let fleet: LocalFleet;

async function countRunning(): Promise<number> {
	const runs = listRuns(await fleet.readPlatformLedger());
	return runs.filter(run => run.end === undefined).length;
}

describe('urgent work on a full fleet', () => {
	before(async () => {
		fleet = await startWorkerFleet(createWorkers(workerCount, workerCores));
		await fleet.callPlatform('PUT', '/v1/control/faults', {reportLagMs: 500, loseAnswers: {probability: 0.1, seed: 58}});
	});

	after(async () => {
		await fleet.stop();
	});

	it('displaces resumable batch jobs, which later resume from their checkpoints', async () => {
		await fleet.publish([
			...nonResumableIds.map(jobId => createJob(jobId, {cores: batchCores, declaredRunMs: batchRunMs})),
			...batchIds.map(jobId => createJob(jobId, {
				cores: batchCores, declaredRunMs: batchRunMs, jobClass: 'batch', isResumable: true,
			})),
		]);
		await waitUntil('the fleet is full', async () => await countRunning() >= runningWhenFull, waitLimitMs);
		await fleet.publish(urgentIds.map(jobId => createJob(jobId, {cores: urgentCores, declaredRunMs: 1000, jobClass: 'urgent'})));
		await waitForStep(fleet, [...urgentIds, ...batchIds, ...nonResumableIds], 'succeeded');
		const ledger = await fleet.readPlatformLedger();
		expect(listOverlaps(ledger)).toEqual([]);
		for (const jobId of [...urgentIds, ...nonResumableIds]) {
			expect(listRunsOf(ledger, jobId).map(run => run.end)).toEqual(['task-succeeded']);
		}

		for (const jobId of batchIds) {
			const ends = listRunsOf(ledger, jobId).map(run => run.end);
			expect(ends.at(-1)).toEqual('task-succeeded');
			expect(ends.slice(0, -1).every(end => end === 'task-stopped')).toEqual(true);
		}
	});

	it('makes room for all urgent jobs at once: stops no more jobs than needed, each after a checkpoint, and gives the room to the urgent jobs', async () => {
		const ledger = await fleet.readPlatformLedger();
		const stops = ledger.filter(entry => entry.event === 'task-stopped');
		expect(stops).not.toBeEmpty();
		expect(stops.length).toBeLessThanOrEqual(urgentIds.length * urgentCores / batchCores);
		const clearedHosts = new Set(stops.map(stop => stop.hostId));
		const firstUrgentStart = ledger.findIndex(entry => entry.event === 'task-started' && urgentIds.includes(entry.taskId ?? '') && clearedHosts.has(entry.hostId));
		for (const stop of stops) {
			const earlier = ledger.slice(0, ledger.indexOf(stop));
			const checkpointed = ledger.findIndex(entry => entry.event === 'task-checkpointed' && entry.taskId === stop.taskId);
			expect(checkpointed).toBeGreaterThanOrEqual(0);
			expect(checkpointed).toBeLessThan(Math.min(earlier.length, firstUrgentStart));
			const next = ledger.slice(earlier.length).find(entry => entry.event === 'task-started' && entry.hostId === stop.hostId);
			expect(urgentIds.includes(next?.taskId ?? '')).toEqual(true);
		}
	});
});
