/** Seeded runs of the model in which workers restart again and again under their ids, beside calls without an answer and tasks of many lengths. */
import {
	createJob, createStep, ModelFleet, noFaults, type ModelFaults,
} from './model-fleet.js';

const hosts = 3;
const workers = 6;
const jobs = 40;
const warmUpMs = 3000;
const settleMs = 60_000;
const longMs = 12_000;
const longEvery = 4;
const maxCrashes = 3;
const endedPhases: ReadonlySet<string | undefined> = new Set(['completed', 'failed']);
/** Intervals of the workers' reports to the registry, by seed. */
const reportMs = [0, 300, 1500] as const;

/** Violated invariants, and jobs that have not ended at the end. Some are given up, as their tasks lose one worker after the other. */
export type StormResult = {readonly violations: readonly string[]; readonly unfinished: readonly number[]; readonly events: readonly string[]};

/** Runs the model; the seed also determines which faults come beside the restarts. */
export function runRestartStorm(seed: number, changes: Partial<ModelFaults> = {}): StormResult {
	const fleet = ModelFleet.create({
		seed,
		hosts,
		workers,
		faults: {
			...noFaults, lostPercent: seed % 5, delayedPercent: seed % 2 === 0 ? 0 : seed % 4, untoldBirthPercent: seed % 3 === 0 ? 0 : 30, areCallsHeld: true, ...changes,
		},
		reportMs: reportMs[seed % reportMs.length]!,
	});
	fleet.run(warmUpMs);
	for (let number = 1; number <= jobs; number++) {
		const estimateMs = number % longEvery === 0 ? longMs : fleet.draw(200, 2000);
		fleet.submit(createJob(number, [createStep({count: 2, need: {cpu: 500, memoryMb: 100, gpu: 0}, estimateMs})]));
		crashWorkers(fleet);
		fleet.run(fleet.draw(50, 400));
	}

	fleet.faults = noFaults;
	fleet.run(settleMs);
	const unfinished = Array.from({length: jobs}, (_, index) => index + 1).filter(number => !endedPhases.has(fleet.getPhase(createJob(number, []).jobId)));
	return {violations: fleet.violations, unfinished, events: fleet.events};
}

/** Ends the processes of a few workers, which start again within a second; some are cut off right after. */
function crashWorkers(fleet: ModelFleet): void {
	const crashes = fleet.draw(0, maxCrashes);
	for (let count = 0; count < crashes; count++) {
		const index = fleet.draw(0, workers - 1);
		if (!fleet.workers[index]!.isUp) {
			continue;
		}

		fleet.killWorker(index, fleet.draw(50, 900));
		if (fleet.draw(1, 4) === 1) {
			fleet.cutWorker(index, fleet.draw(500, 5000));
		}
	}
}
