/** Seeded runs of the model under faults, and their results. */
import {
	createJob, createStep, ModelFleet, noFaults, noReadFaults,
} from './model-fleet.js';

const jobCount = 40;
const hostCount = 4;
const workerCount = 5;
const warmUpMs = 3000;
const faultyMs = 5000;
const settleMs = 40_000;
const minCrashIntervalMs = 800;
const crashIntervalStepMs = 700;
const minCapacityIntervalMs = 50;
const capacityIntervalStepMs = 250;
const minStalenessMs = 200;
const stalenessStepMs = 320;
const minPageRecords = 2;
const pageRecordsStep = 9;
/** About as long as the timeout of a read. */
const intakeStalenessMs = 1800;
const intakePageRecords = 8;
const jobsPerTakeover = 9;
const restartMs = 600;

/** Violated invariants, and jobs that some host does not show as completed at the end. */
export type SeedResult = {readonly violations: readonly string[]; readonly unfinished: readonly string[]};

/** Runs the model; the seed also determines how often answers are lost, orders are delayed, and hosts and workers crash. */
export function runSeed(seed: number): SeedResult {
	return runJobs(ModelFleet.create({
		seed, hosts: hostCount, workers: workerCount, faults: {lostPercent: seed % 7, delayedPercent: seed % 5, crashEveryMs: minCrashIntervalMs + ((seed % 6) * crashIntervalStepMs)},
	}));
}

function runJobs(fleet: ModelFleet): SeedResult {
	fleet.run(warmUpMs);
	for (let number = 1; number <= jobCount; number++) {
		fleet.submit(createJob(number, [createStep({count: fleet.draw(1, 5)}), createStep({dependsOn: [0], count: fleet.draw(1, 3), estimateMs: fleet.draw(100, 1500)})]));
		fleet.run(fleet.draw(5, 400));
	}

	fleet.run(faultyMs);
	fleet.faults = noFaults;
	fleet.run(settleMs);
	return {violations: fleet.violations, unfinished: listUnfinished(fleet)};
}

export type StaleReadsResult = SeedResult & {readonly events: readonly string[]};

/** Like `runSeed`, with workers that start whatever they are told to, and whose capacity shrinks and grows. */
export function runCapacitySeed(seed: number): SeedResult {
	return runJobs(ModelFleet.create({
		seed,
		hosts: hostCount,
		workers: workerCount,
		faults: {
			lostPercent: seed % 7, delayedPercent: seed % 5, crashEveryMs: minCrashIntervalMs + ((seed % 6) * crashIntervalStepMs), capacityEveryMs: minCapacityIntervalMs + ((seed % 4) * capacityIntervalStepMs),
		},
		areWorkersUnguarded: true,
	}));
}

/** Like `runSeed`, with reads that are stale when they arrive and come in pages, and with leaders that are stopped. */
export function runStaleReadsSeed(seed: number): StaleReadsResult {
	return runWithTakeovers(ModelFleet.create({
		seed,
		hosts: hostCount,
		workers: workerCount,
		faults: {lostPercent: seed % 3, delayedPercent: seed % 2, crashEveryMs: minCrashIntervalMs + ((seed % 6) * crashIntervalStepMs)},
		readFaults: {maxStalenessMs: minStalenessMs + ((seed % 6) * stalenessStepMs), pageRecords: minPageRecords + ((seed % 5) * pageRecordsStep), streams: ['intake', 'ledger']},
	}));
}

/** Like `runStaleReadsSeed`, with current reads of the ledger: a new leader knows of starts of jobs that it has not read yet. */
export function runStaleIntakeSeed(seed: number): StaleReadsResult {
	return runWithTakeovers(ModelFleet.create({
		seed,
		hosts: hostCount,
		workers: workerCount,
		faults: {lostPercent: 0, delayedPercent: 0, crashEveryMs: minCrashIntervalMs + ((1 + (seed % 3)) * crashIntervalStepMs)},
		readFaults: {maxStalenessMs: intakeStalenessMs, pageRecords: intakePageRecords, streams: ['intake']},
	}));
}

function runWithTakeovers(fleet: ModelFleet): StaleReadsResult {
	fleet.run(warmUpMs);
	for (let number = 1; number <= jobCount; number++) {
		fleet.submit(createJob(number, [createStep({count: fleet.draw(1, 5)}), createStep({dependsOn: [0], count: fleet.draw(1, 3), estimateMs: fleet.draw(100, 1500)})]));
		fleet.run(fleet.draw(5, 400));
		if (number % jobsPerTakeover === 0) {
			fleet.stopLeader(restartMs);
		}
	}

	fleet.run(faultyMs);
	fleet.faults = noFaults;
	fleet.run(faultyMs);
	fleet.readFaults = noReadFaults;
	fleet.run(settleMs);
	return {violations: fleet.violations, unfinished: listUnfinished(fleet), events: fleet.events};
}

function listUnfinished(fleet: ModelFleet): string[] {
	const unfinished: string[] = [];
	for (const host of fleet.hosts.keys()) {
		for (let number = 1; number <= jobCount; number++) {
			const jobId = number.toString(16).padStart(16, '0');
			const phase = fleet.getPhase(jobId, host);
			const isAllowed = phase === 'completed' || (phase === 'failed' && fleet.canFail(jobId));
			if (!isAllowed) {
				unfinished.push(`host ${host}: job ${number} is ${phase}`);
			}
		}
	}

	return unfinished;
}
