/** One seeded run of the model under faults, and what it found. */
import {
	createJob, createStep, ModelFleet, noFaults, noReadFaults,
} from './model-fleet.js';

const jobCount = 40;
const hostCount = 4;
const workerCount = 5;
const warmUpMs = 3000;
const troubleMs = 5000;
const settleMs = 40_000;
const leastCrashMs = 800;
const crashStepMs = 700;
const leastOldestMs = 200;
const oldestStepMs = 320;
const leastPageRecords = 2;
const pageStepRecords = 9;
/** About as long as a read waits for its answer. */
const oldestIntakeMs = 1800;
const intakePageRecords = 8;
const jobsPerTakeover = 9;
const restartMs = 600;

/** Broken promises, and jobs that some host does not show as completed in the end. */
export type SeedResult = {readonly violations: readonly string[]; readonly unfinished: readonly string[]};

/** Runs the model; the seed also decides how often answers are lost, orders come late, and hosts and workers crash. */
export function runSeed(seed: number): SeedResult {
	const fleet = ModelFleet.create({
		seed, hosts: hostCount, workers: workerCount, faults: {lostPercent: seed % 7, delayedPercent: seed % 5, crashEveryMs: leastCrashMs + ((seed % 6) * crashStepMs)},
	});
	fleet.run(warmUpMs);
	for (let number = 1; number <= jobCount; number++) {
		fleet.submit(createJob(number, [createStep({count: fleet.draw(1, 5)}), createStep({dependsOn: [0], count: fleet.draw(1, 3), estimateMs: fleet.draw(100, 1500)})]));
		fleet.run(fleet.draw(5, 400));
	}

	fleet.run(troubleMs);
	fleet.faults = noFaults;
	fleet.run(settleMs);
	return {violations: fleet.violations, unfinished: listUnfinished(fleet)};
}

export type LateSeedResult = SeedResult & {readonly events: readonly string[]};

/** As `runSeed`, with reads that are old when they arrive and come in pages, and leaders that are stopped. */
export function runLateSeed(seed: number): LateSeedResult {
	return runLate(ModelFleet.create({
		seed,
		hosts: hostCount,
		workers: workerCount,
		faults: {lostPercent: seed % 3, delayedPercent: seed % 2, crashEveryMs: leastCrashMs + ((seed % 6) * crashStepMs)},
		readFaults: {oldestMs: leastOldestMs + ((seed % 6) * oldestStepMs), pageRecords: leastPageRecords + ((seed % 5) * pageStepRecords), streams: ['intake', 'ledger']},
	}));
}

/** As `runLateSeed`, with the ledger read in time: a new leader knows of starts of jobs that it has yet to read. */
export function runLateIntakeSeed(seed: number): LateSeedResult {
	return runLate(ModelFleet.create({
		seed,
		hosts: hostCount,
		workers: workerCount,
		faults: {lostPercent: 0, delayedPercent: 0, crashEveryMs: leastCrashMs + ((1 + (seed % 3)) * crashStepMs)},
		readFaults: {oldestMs: oldestIntakeMs, pageRecords: intakePageRecords, streams: ['intake']},
	}));
}

function runLate(fleet: ModelFleet): LateSeedResult {
	fleet.run(warmUpMs);
	for (let number = 1; number <= jobCount; number++) {
		fleet.submit(createJob(number, [createStep({count: fleet.draw(1, 5)}), createStep({dependsOn: [0], count: fleet.draw(1, 3), estimateMs: fleet.draw(100, 1500)})]));
		fleet.run(fleet.draw(5, 400));
		if (number % jobsPerTakeover === 0) {
			fleet.stopLeader(restartMs);
		}
	}

	fleet.run(troubleMs);
	fleet.faults = noFaults;
	fleet.run(troubleMs);
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
