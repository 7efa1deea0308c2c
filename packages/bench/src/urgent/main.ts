#!/usr/bin/env node
/** Measures the time from publishing to start of urgent jobs on a fleet full of batch work: `main.js [--rounds 5] [--lag 0]`. */
import process from 'node:process';
import {type LocalFleet, sleep, waitUntil} from '@rhubarblever/stand-ins';
import {build} from 'hdr-histogram-js';
import sade from 'sade';
import {listRuns} from '../integration/platform-ledger.js';
import {
	createJob, createWorkers, startWorkerFleet, waitForStep,
} from '../integration/worker-fleet.js';

/** The number of workers that each firm has. */
const workerCount = 35;
const workerCores = 32;
const batchCores = 8;
const batchCount = workerCount * workerCores / batchCores;
const batchRunMs = 3_600_000;
const urgentCores = 24;
const urgentPerRound = 4;
const urgentRunMs = 500;
const publishLimit = 100;
const timeoutMs = 60_000;
const pauseMs = 3000;

type Flags = {readonly rounds: number; readonly lag: number};

sade('urgent', true)
	.option('--rounds', `How often to publish ${urgentPerRound} urgent jobs at once`, 5)
	.option('--lag', 'Lag of the platform\'s reports, in milliseconds', 0)
	.action(async (flags: Flags) => {
		const fleet = await startWorkerFleet(createWorkers(workerCount, workerCores));
		try {
			const report = await measureUrgent(fleet, flags);
			process.stdout.write(`${JSON.stringify(report, undefined, '\t')}\n`);
		} finally {
			await fleet.stop();
		}
	})
	.parse(process.argv);

async function measureUrgent(fleet: LocalFleet, {rounds, lag}: Flags) {
	await fleet.callPlatform('PUT', '/v1/control/faults', {reportLagMs: Number(lag)});
	await fillFleet(fleet);
	const started = build();
	for (let round = 0; round < Number(rounds); round++) {
		// eslint-disable-next-line no-await-in-loop
		await measureRound(fleet, round, started);
	}

	const ledger = await fleet.readPlatformLedger();
	return {
		workers: workerCount,
		urgentJobs: started.totalCount,
		reportLagMs: Number(lag),
		startedMs: {p50: started.getValueAtPercentile(50), p99: started.getValueAtPercentile(99), max: started.maxValue},
		displaced: ledger.filter(entry => entry.event === 'task-stopped').length,
	};
}

/** Publishes more batch jobs than fit and waits until no more of them start. */
async function fillFleet(fleet: LocalFleet): Promise<void> {
	for (let first = 0; first < batchCount; first += publishLimit) {
		const count = Math.min(publishLimit, batchCount - first);
		// eslint-disable-next-line no-await-in-loop
		await fleet.publish(Array.from({length: count}, (_, index) => createJob(`archive-${first + index}`, {
			jobClass: 'batch', cores: batchCores, declaredRunMs: batchRunMs, isResumable: true,
		})));
	}

	let known = 0;
	await waitUntil('the fleet is full', async () => {
		const before = known;
		await sleep(pauseMs);
		known = listRuns(await fleet.readPlatformLedger()).length;
		return known > 0 && known === before;
	}, timeoutMs);
}

async function measureRound(fleet: LocalFleet, round: number, started: ReturnType<typeof build>): Promise<void> {
	const ids = Array.from({length: urgentPerRound}, (_, index) => `warning-${round}-${index}`);
	const publishedAt = Date.now();
	await fleet.publish(ids.map(jobId => createJob(jobId, {jobClass: 'urgent', cores: urgentCores, declaredRunMs: urgentRunMs})));
	await waitForStep(fleet, ids, 'succeeded');
	const ledger = await fleet.readPlatformLedger();
	for (const run of listRuns(ledger).filter(({taskId}) => ids.includes(taskId))) {
		started.recordValue(run.startedAt - publishedAt);
	}

	await sleep(pauseMs);
}
