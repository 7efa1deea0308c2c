#!/usr/bin/env node
/**
 * Checks that two builds read each other's records and messages: `main.js --old FOLDER` takes a built checkout of the other build.
 * Runs a takeover and a rollback with unfinished work, then hosts of both builds side by side, then daemons of both builds as peers.
 * Exit code 0 only if no guarantee was violated.
 */
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import sade from 'sade';
import {runPeerUpgrade} from './peer-upgrade.js';
import {runSideBySide} from './side-by-side.js';
import {runTakeover} from './takeover.js';
import {UpgradeFleet, type Build, type BuildPrograms} from './upgrade-fleet.js';

type Flags = {readonly old?: string; readonly new: string; readonly minutes: number; readonly seed: number; readonly workers: number};

const badCommandCode = 2;
const thisCheckout = fileURLToPath(new URL('../../../../', import.meta.url));
const entryProgram = 'platform/dist/main.js';
const daemonProgram = 'packages/daemon/dist/main.js';
const millisecondsPerMinute = 60_000;
const takeoverHosts: readonly Build[] = ['old', 'old', 'old'];
const sideBySideHosts: readonly Build[] = ['old', 'new', 'old', 'new'];

type PhaseOptions = {readonly programs: BuildPrograms; readonly flags: Flags; readonly builds: readonly Build[]};

/** Runs a phase on a new fleet and prints its verdict. */
async function runPhase<Result>(name: string, options: PhaseOptions, run: (fleet: UpgradeFleet) => Promise<Result>): Promise<void> {
	const {programs, flags: {workers, seed}, builds} = options;
	const fleet = await UpgradeFleet.create({programs, workers, seed});
	try {
		for (const build of builds) {
			// eslint-disable-next-line no-await-in-loop
			await fleet.addHost(build);
		}

		await fleet.waitForReady();
		const result = await run(fleet);
		const {checker: {violations}, jobs, load} = fleet.parts;
		const accepted = [...jobs.values()].filter(job => job.acceptedAt !== undefined).length;
		const summary = {
			...result, jobs: jobs.size, accepted, starts: fleet.parts.checker.countStarts(), answers: Object.fromEntries(load.answers), processStarts: fleet.processStarts,
		};
		writeVerdict(name, violations, summary);
	} finally {
		await fleet.close();
	}
}

function writeVerdict(name: string, violations: readonly string[], summary: unknown): void {
	process.stdout.write(`${name}: ${violations.length === 0 ? 'kept' : 'BROKEN'} ${JSON.stringify(summary)}\n${violations.map(text => `    ${text}\n`).join('')}`);
	process.exitCode = violations.length > 0 ? 1 : process.exitCode;
}

async function run(flags: Flags): Promise<void> {
	if (flags.old === undefined) {
		process.stderr.write('--old must name the folder of a built checkout of the other build\n');
		process.exitCode = badCommandCode;
		return;
	}

	const {old, new: current} = flags;
	const programs = {old: path.join(old, entryProgram), new: path.join(current, entryProgram)};
	await runPhase('takeover and rollback', {programs, flags, builds: takeoverHosts}, async fleet => ({
		takeover: await runTakeover(fleet, 'new', 1),
		rollback: await runTakeover(fleet, 'old', 2),
	}));
	await runPhase('side by side', {programs, flags, builds: sideBySideHosts}, async fleet => ({
		passes: await runSideBySide(fleet, performance.now() + (flags.minutes * millisecondsPerMinute)),
	}));
	const violations: string[] = [];
	const result = await runPeerUpgrade({old: path.join(old, daemonProgram), new: path.join(current, daemonProgram)}, what => {
		violations.push(what);
	});
	writeVerdict('daemons as peers', violations, result);
}

sade('rolling-upgrade', true)
	.describe('Takeover, rollback and side-by-side operation of two builds on the stand-in platforms')
	.option('--old', 'Folder of a built checkout of the other build')
	.option('--new', 'Folder of a built checkout of the new build', thisCheckout)
	.option('--minutes', 'How long both builds work side by side', 3)
	.option('--workers', 'Workers, each on a machine of its own', 12)
	.option('--seed', 'Seed of the load', 1)
	.action(run)
	.parse(process.argv);
