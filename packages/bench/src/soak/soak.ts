/** One seeded run of the soak: successive and overlapping faults under load, then a time without faults, then the final checks. */
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../mixed-run/seeded-random.js';
import {RunChecker} from './run-checker.js';
import {soakFaults} from './soak-faults.js';
import {SoakFleet, type SoakHost} from './soak-fleet.js';
import {SoakLoad, type SoakJob} from './soak-load.js';

export type SoakOptions = {readonly seed: number; readonly faultMs: number; readonly hosts: number; readonly workers: number; readonly only?: readonly string[]};

export type SoakResult = {
	readonly seed: number;
	readonly violations: readonly string[];
	/** Faults in the order of their start: milliseconds since the start of the run, and the kind. */
	readonly faults: readonly string[];
	readonly jobs: number;
	readonly accepted: number;
	readonly starts: number;
	readonly answers: Readonly<Record<string, number>>;
	/** The last output of each host; empty without a violation. */
	readonly logs: Readonly<Record<string, string>>;
};

const runMs = 250;
const meanFaultGapMs = 700;
const shortestFaultMs = 200;
const longestFaultMs = 4000;
/** All accepted jobs must end within this time after the last fault. */
const settleMs = 45_000;
const settlePollMs = 300;
const cancelStopMs = 6000;
const loadTailMs = 1000;
const keptLogLength = 400_000;

/** Runs the soak with one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const startedAt = performance.now();
	const jobs = new Map<string, SoakJob>();
	const fleets: SoakFleet[] = [];
	const checker = RunChecker.create({
		findJob: jobId => jobs.get(jobId), readClock: () => performance.now(), readDisturbedUntil: () => fleets[0]?.getDisturbedUntil() ?? performance.now(),
	});
	const fleet = await SoakFleet.start({
		hosts: options.hosts, workers: options.workers, runMs, observer: checker,
	});
	fleets.push(fleet);
	try {
		const load = SoakLoad.create({
			fleet, draws: SeededRandom.create(options.seed + 1), recentJobDraws: SeededRandom.create(options.seed + 2), jobs, checker,
		});
		const deadline = performance.now() + options.faultMs;
		const [faults] = await Promise.all([runFaults(fleet, options, deadline), load.run(deadline + loadTailMs)]);
		await checkFinalState(fleet, checker, jobs);
		checker.violations.push(...fleet.unexpectedExits);
		return {
			seed: options.seed,
			violations: checker.violations.map(text => text.replace(/^\d+/, time => String(Math.round(Number(time) - startedAt)))),
			faults: faults.map(({at, kind}) => `${Math.round(at - startedAt)} ms: ${kind}`),
			jobs: jobs.size,
			accepted: [...jobs.values()].filter(job => job.acceptedAt !== undefined).length,
			starts: checker.countStarts(),
			answers: Object.fromEntries(load.answers),
			logs: checker.violations.length > 0 ? Object.fromEntries(fleet.hosts.map(host => [`front-${host.index}`, host.process.output.slice(-keptLogLength)])) : {},
		};
	} finally {
		await fleet.close();
	}
}

type StartedFault = {readonly at: number; readonly kind: string};

/** Starts faults until a deadline; resolves when all have ended. */
async function runFaults(fleet: SoakFleet, {seed, only}: SoakOptions, deadline: number): Promise<StartedFault[]> {
	const draws = SeededRandom.create(seed);
	const kinds = only ?? Object.keys(soakFaults);
	const startedFaults: StartedFault[] = [];
	const running: Array<Promise<void>> = [];
	while (performance.now() < deadline) {
		const kind = draws.select(kinds);
		const durationMs = draws.drawInteger(shortestFaultMs, longestFaultMs);
		startedFaults.push({at: performance.now(), kind});
		running.push(runFault(fleet, kind, draws, durationMs));
		// eslint-disable-next-line no-await-in-loop
		await sleep(draws.drawFraction() * 2 * meanFaultGapMs);
	}

	await Promise.all(running);
	return startedFaults;
}

async function runFault(fleet: SoakFleet, kind: string, draws: SeededRandom, lastsMs: number): Promise<void> {
	const end = await soakFaults[kind]!(fleet, draws);
	await sleep(lastsMs);
	await end();
}

/** Checks after the faults that all hosts are ready, that every accepted job is shown as ended at every host, and that no task of a cancelled job still runs. */
async function checkFinalState(fleet: SoakFleet, checker: RunChecker, jobs: ReadonlyMap<string, SoakJob>): Promise<void> {
	for (const host of await fleet.listUnready()) {
		checker.report(`front-${host.index} is not ready long after the faults`);
	}

	const settleDeadline = performance.now() + settleMs;
	for (const host of fleet.hosts) {
		let unfinished = listAccepted(jobs);
		while (unfinished.length > 0 && performance.now() < settleDeadline) {
			// eslint-disable-next-line no-await-in-loop
			unfinished = await listUnfinished(fleet, host, unfinished);
			// eslint-disable-next-line no-await-in-loop
			await sleep(unfinished.length > 0 ? settlePollMs : 0);
		}

		for (const job of unfinished) {
			checker.report(`${job.jobId} is accepted and unfinished at front-${host.index}, ${checker.countRunning(job.jobId)} of its tasks still run`);
		}
	}

	for (const job of jobs.values()) {
		const isLeftRunning = job.cancelledAt !== undefined && performance.now() > job.cancelledAt + cancelStopMs && checker.countRunning(job.jobId) > 0;
		if (isLeftRunning) {
			checker.report(`${job.jobId} is cancelled and still runs`);
		}
	}
}

function listAccepted(jobs: ReadonlyMap<string, SoakJob>): SoakJob[] {
	return [...jobs.values()].filter(job => job.acceptedAt !== undefined);
}

async function listUnfinished(fleet: SoakFleet, host: SoakHost, jobs: readonly SoakJob[]): Promise<SoakJob[]> {
	const answers = await Promise.all(jobs.map(async job => ({job, answer: await fleet.call(host, 'GET', job.jobId)})));
	return answers.filter(({job, answer}) => !isFinished(job, answer.state)).map(({job}) => job);
}

function isFinished(job: SoakJob, state: string | undefined): boolean {
	return state === 'completed' || (state === 'cancelled' && job.cancelSentAt !== undefined);
}
