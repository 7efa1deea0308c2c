/** Seeded runs of the model like those of restart-storm.ts, in which hosts end too and the lead changes, with gangs, tasks that last, speculative ones and cancelled jobs. */
import type {StepDefinition} from '../types.js';
import {
	createJob, createStep, ModelFleet, noFaults, type ModelFaults,
} from './model-fleet.js';

const hosts = 3;
const workers = 6;
const warmUpMs = 3000;
/** After this time without faults no call of before is carried out any more. */
const settleMs = 15_000;
const settleStepMs = 2500;
const maxSettleMs = 90_000;
const longMs = 12_000;
/** Longer than any run of the model. */
const lastingMs = 1_000_000;
const maxCrashes = 3;
const gangSize = 3;
const cancelAfterMs = 4000;
const jobCount = 40;
const percentAll = 100;
/** Intervals of the workers' reports to the registry, by seed. */
const reportMs = [0, 300, 1500] as const;

/** What one job of the storm is made of. */
type JobKind = 'short' | 'long' | 'lasting' | 'gang' | 'speculative' | 'cancelled' | 'chained';

const kinds: readonly JobKind[] = ['short', 'long', 'lasting', 'gang', 'speculative', 'cancelled', 'chained', 'short'];

/** Which changes come beside the restarts of workers; all of them if left out. */
export type StormChanges = {
	readonly faults?: Partial<ModelFaults>;
	/** Share of the jobs after which a host is killed or the leader is stopped, in percent. */
	readonly hostEndPercent?: number;
	readonly kinds?: readonly JobKind[];
	readonly jobs?: number;
};

/** Violated invariants, and jobs that have not ended although they could. */
export type MixedResult = {readonly violations: readonly string[]; readonly unfinished: readonly string[]; readonly events: readonly string[]};

/** Seeds that still violate an invariant, see KNOWN-RED.txt. */
export const failingSeeds: readonly number[] = [9];

/** Runs the model; the seed also determines which faults come beside the restarts. */
export function runMixedStorm(seed: number, {faults = {}, hostEndPercent = 12, kinds: allowedKinds = kinds, jobs = jobCount}: StormChanges = {}): MixedResult {
	const fleet = ModelFleet.create({
		seed,
		hosts,
		workers,
		faults: {
			...noFaults, lostPercent: seed % 5, delayedPercent: seed % 2 === 0 ? 0 : seed % 4, areCallsHeld: true, ...faults,
		},
		reportMs: reportMs[seed % reportMs.length]!,
	});
	fleet.run(warmUpMs);
	const jobKinds: JobKind[] = [];
	for (let number = 1; number <= jobs; number++) {
		const kind = allowedKinds[fleet.draw(0, allowedKinds.length - 1)]!;
		jobKinds.push(kind);
		fleet.submit(createJob(number, createSteps(fleet, kind)));
		crashWorkers(fleet);
		endHost(fleet, hostEndPercent);
		fleet.run(fleet.draw(50, 400));
		cancelJobs(fleet, jobKinds, number - Math.ceil(cancelAfterMs / 225), 'cancelled');
	}

	fleet.faults = noFaults;
	fleet.run(settleMs);
	cancelJobs(fleet, jobKinds, jobs, 'lasting');
	for (let waitedMs = 0; waitedMs < maxSettleMs && listUnfinished(fleet, jobKinds).length > 0; waitedMs += settleStepMs) {
		fleet.run(settleStepMs);
	}

	return {violations: fleet.violations, unfinished: listUnfinished(fleet, jobKinds), events: fleet.events};
}

function createSteps(fleet: ModelFleet, kind: JobKind): StepDefinition[] {
	const estimateMs = fleet.draw(200, 2000);
	const need = {cpu: 500, memoryMb: 100, gpu: 0};
	const builders: Record<JobKind, () => StepDefinition[]> = {
		short: () => [createStep({count: 2, need, estimateMs})],
		long: () => [createStep({count: 2, need, estimateMs: longMs})],
		lasting: () => [createStep({
			count: 2, need, estimateMs: lastingMs, isLongRunning: true, maxUnavailable: 1,
		})],
		gang: () => [createStep({
			count: gangSize, need, estimateMs, isGang: true,
		})],
		speculative: () => [createStep({
			count: 2, need, estimateMs, isSpeculative: true,
		})],
		cancelled: () => [createStep({count: 2, need, estimateMs: longMs})],
		chained: () => [createStep({count: 2, need, estimateMs}), createStep({
			count: 1, need, estimateMs, dependsOn: [0],
		})],
	};
	return builders[kind]();
}

/** Cancels the jobs of a kind up to a number. */
function cancelJobs(fleet: ModelFleet, jobKinds: readonly JobKind[], upTo: number, kind: JobKind): void {
	for (let number = 1; number <= upTo; number++) {
		if (jobKinds[number - 1] === kind) {
			fleet.cancel(createJob(number, []).jobId);
		}
	}
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

/** Kills a host, or has the leader release its lead, now and then. */
function endHost(fleet: ModelFleet, hostEndPercent: number): void {
	if (fleet.draw(1, percentAll) > hostEndPercent) {
		return;
	}

	const downMs = fleet.draw(300, 3000);
	const how = fleet.draw(0, 2);
	if (how === 0) {
		fleet.stopLeader(downMs);
		return;
	}

	const leader = fleet.hosts.findIndex(({isUp, state}) => isUp && state.leadership.role === 'leader');
	const index = how === 1 && leader !== -1 ? leader : fleet.draw(0, hosts - 1);
	if (fleet.hosts[index]!.isUp) {
		fleet.killHost(index, downMs);
	}
}

function listUnfinished(fleet: ModelFleet, jobKinds: readonly JobKind[]): string[] {
	const unfinished: string[] = [];
	const leader = fleet.findLeader();
	for (const [index, kind] of jobKinds.entries()) {
		const {jobId} = createJob(index + 1, []);
		const job = leader?.jobs.get(jobId);
		// A task beside which workers were lost again and again is given up.
		const canFail = fleet.canFail(jobId) || fleet.events.some(event => event.includes('task-given-up') && event.includes(jobId));
		const hasEnded = job?.isCancelled === true || job?.phase === 'completed' || (job?.phase === 'failed' && canFail);
		if (!hasEnded) {
			unfinished.push(`${kind} job ${index + 1} is ${job?.phase ?? 'not known'}`);
		}
	}

	return unfinished;
}
