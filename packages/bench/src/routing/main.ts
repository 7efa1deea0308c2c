#!/usr/bin/env node
/** The routing benchmark: `main.js --short --seeds 1,2 --policies steward,round-robin`; prints a table and writes reports/routing.html and .json. */
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {routingPolicies} from '@rhubarblever/core';
import sade from 'sade';
import {
	hardTimes, longTimes, shortTimes, type BenchTimes,
} from './bench-shape.js';
import {renderPage} from './chart.js';
import {runPolicy, type PolicyRun} from './run-policy.js';
import {renderTable} from './table.js';

type Flags = {
	readonly short: boolean; readonly hard: boolean; readonly seeds: string; readonly policies: string; readonly 'when-full': string; readonly out: string;
	readonly pace: number;
};

sade('routing-bench', true)
	.option('--short', 'About 20 seconds for each policy and seed, else about 60', false)
	.option('--hard', 'Bursts that outlast deadlines, about 25 seconds for each policy and seed', false)
	.option('--seeds', 'Seeds, separated by commas', '1,2,3')
	.option('--policies', 'Routing policies, separated by commas', Object.keys(routingPolicies).join(','))
	.option('--when-full', 'What a runner does beyond its slots: refuse or queue', 'queue')
	.option('--pace', 'Factor of run times and deadlines; more asks for fewer requests a second', 1)
	.option('--out', 'Folder of the report', 'reports')
	.action(async (flags: Flags) => {
		const runs: PolicyRun[] = [];
		for (const seed of String(flags.seeds).split(',')) {
			for (const policy of flags.policies.split(',')) {
				process.stderr.write(`running ${policy}, seed ${seed}\n`);
				// eslint-disable-next-line no-await-in-loop
				runs.push(await runPolicy({
					policy, seed: Number(seed), times: chooseTimes(flags), whenFull: flags['when-full'],
				}));
				// eslint-disable-next-line no-await-in-loop
				await writeReports(flags.out, runs);
			}
		}

		process.stdout.write(`${renderTable(runs)}\n`);
	})
	.parse(process.argv);

function chooseTimes({short: isShort, hard: isHard, pace}: Flags): BenchTimes {
	if (isHard) {
		return hardTimes;
	}

	return {...(isShort ? shortTimes : longTimes), pace, deadlinePace: pace};
}

/** Writes the results so far, so that a run that is interrupted keeps its figures. */
async function writeReports(folder: string, runs: readonly PolicyRun[]): Promise<void> {
	await mkdir(folder, {recursive: true});
	await writeFile(join(folder, 'routing.html'), renderPage(runs, 'Routing policies under the burst pattern'));
	await writeFile(join(folder, 'routing.json'), `${JSON.stringify(runs, undefined, '\t')}\n`);
}
