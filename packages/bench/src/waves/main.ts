#!/usr/bin/env node
/** Measures waves over 35 workers and compares them with the baselines: `main.js --seeds 5`. */
import process from 'node:process';
import type {WavePolicyName} from '@rhubarblever/core';
import sade from 'sade';
import type {Load} from './job-source.js';
import {
	countJobs, firmShapes, minuteMs, type FirmShape,
} from './shapes.js';
import {WaveTrial, type TrialResult} from './trial.js';

const policies: readonly WavePolicyName[] = ['fill-budget', 'one-at-a-time', 'fixed-buffer'];
const defaultResumableShare = 0.3;
const hourMs = 60 * minuteMs;

type Row = {readonly firm: FirmShape; readonly policy: WavePolicyName; readonly hasFailure: boolean; readonly load: Load};

function runTrials(row: Row, seeds: number): TrialResult[] {
	return Array.from({length: seeds}, (_, index) => WaveTrial.create({...row, seed: index + 1}).run());
}

function computeMean(results: readonly TrialResult[], pick: (result: TrialResult) => number): number {
	return results.reduce((sum, result) => sum + pick(result), 0) / results.length;
}

const headings = [
	'firm, failures, policy',
	'roll-out (min)',
	'least (min)',
	'ratio, mean',
	'ratio, worst',
	'least as run (min)',
	'ratio as run',
	'known times (min)',
	'least without drains (min)',
	'buffer (idle host-hours)',
	'moves',
	'checkpoints',
	'work lost (min)',
	'violations',
	'done',
];

function formatLine(cells: readonly string[]): string {
	return `| ${cells.join(' | ')} |`;
}

function formatRow(name: string, results: readonly TrialResult[]): string {
	const columns = [
		(computeMean(results, result => result.rollOutMs) / minuteMs).toFixed(1),
		(computeMean(results, result => result.leastMs) / minuteMs).toFixed(1),
		computeMean(results, result => result.rollOutMs / result.leastMs).toFixed(3),
		Math.max(...results.map(result => result.rollOutMs / result.leastMs)).toFixed(3),
		(computeMean(results, result => result.leastAsRunMs) / minuteMs).toFixed(1),
		computeMean(results, result => result.rollOutMs / result.leastAsRunMs).toFixed(3),
		(computeMean(results, result => result.knownMs) / minuteMs).toFixed(1),
		(computeMean(results, result => result.leastWithoutDrainsMs) / minuteMs).toFixed(1),
		(computeMean(results, result => result.bufferMs) / hourMs).toFixed(2),
		computeMean(results, result => result.moves).toFixed(1),
		computeMean(results, result => result.checkpoints).toFixed(0),
		(computeMean(results, result => result.lostMs) / minuteMs).toFixed(1),
		String(results.reduce((sum, result) => sum + result.violations, 0)),
		`${results.filter(result => result.isDone).length}/${results.length}`,
	];
	return formatLine([name, ...columns]);
}

type Flags = {readonly seeds: number; readonly firm?: string; readonly policy?: string; readonly resumable: number; readonly load: string};

sade('waves', true)
	.option('--firm', 'Only this firm')
	.option('--policy', 'Only this policy')
	.option('--seeds', 'Trials of each row', 5)
	.option('--resumable', 'Share of the jobs that are resumable', defaultResumableShare)
	.option('--load', 'What runs: as many jobs as fit the least healthy hosts (minimum) or all hosts (full)', 'minimum')
	.action((flags: Flags) => {
		process.stdout.write([
			formatLine(headings),
			formatLine(headings.map(() => '---')),
		].join('\n') + '\n');
		for (const firm of firmShapes.filter(({name}) => name.toLowerCase() === (flags.firm ?? name).toLowerCase())) {
			for (const hasFailure of [false, true]) {
				for (const policy of policies.filter(name => name === (flags.policy ?? name))) {
					const load = {jobCount: countJobs(firm, flags.load === 'full'), resumableShare: flags.resumable};
					const name = `${firm.name}, ${hasFailure ? 'a rack fails' : 'none'}, ${policy}`;
					process.stdout.write(`${formatRow(name, runTrials({
						firm, policy, hasFailure, load,
					}, flags.seeds))}\n`);
				}
			}
		}
	})
	.parse(process.argv);
