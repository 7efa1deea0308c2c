#!/usr/bin/env node
/** The fault soak: `main.js --seed 1 --seeds 10`. Exit code 0 only if no seed violated a guarantee. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import sade from 'sade';
import {soakFaults} from './soak-faults.js';
import {runSoak, type SoakResult} from './soak.js';

type Flags = {readonly seed: number; readonly seeds: number; readonly seconds: number; readonly hosts: number; readonly workers: number; readonly only?: string; readonly logs?: string};

const badCommandCode = 2;
const millisecondsPerSecond = 1000;

function describeResult({seed, violations, faults, jobs, accepted, starts, answers}: SoakResult): string {
	const verdict = violations.length === 0 ? 'kept' : 'BROKEN';
	return [
		`seed ${seed}: ${verdict}; ${faults.length} faults, ${jobs} jobs, ${accepted} accepted, ${starts} starts, answers ${JSON.stringify(answers)}`,
		...violations.map(text => `    ${text}`),
	].join('\n');
}

/** Writes what is needed to trace a failure: the verdict, the faults and each host's log. */
function writeLogs(folder: string, result: SoakResult): void {
	const seedFolder = path.join(folder, `seed-${result.seed}`);
	mkdirSync(seedFolder, {recursive: true});
	writeFileSync(path.join(seedFolder, 'result.json'), JSON.stringify({...result, logs: undefined}, undefined, '\t'));
	for (const [host, text] of Object.entries(result.logs)) {
		writeFileSync(path.join(seedFolder, `${host}.log`), text);
	}
}

async function run(flags: Flags): Promise<void> {
	const only = flags.only?.split(',');
	if (only?.some(kind => !Object.hasOwn(soakFaults, kind))) {
		process.stderr.write(`--only names an unknown kind of fault; the kinds: ${Object.keys(soakFaults).join(', ')}\n`);
		process.exitCode = badCommandCode;
		return;
	}

	const {seed: firstSeed, seeds} = flags;
	for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
		// eslint-disable-next-line no-await-in-loop
		const result = await runSoak({
			seed, faultMs: flags.seconds * millisecondsPerSecond, hosts: flags.hosts, workers: flags.workers, ...(only && {only}),
		});
		process.stdout.write(`${describeResult(result)}\n`);
		if (result.violations.length > 0) {
			process.exitCode = 1;
			writeLogs(flags.logs ?? 'reports/soak', result);
		}
	}
}

sade('soak', true)
	.describe('Real entry hosts on the stand-in platform under random faults; tells broken promises')
	.option('--seed', 'First seed', 1)
	.option('--seeds', 'How many seeds, one after the other', 1)
	.option('--seconds', 'How long faults begin', 20)
	.option('--hosts', 'Entry hosts', 4)
	.option('--workers', 'Workers', 5)
	.option('--only', 'Only these kinds of faults, separated by commas')
	.option('--logs', 'Folder for the logs of seeds that broke a promise')
	.action(run)
	.parse(process.argv);
