#!/usr/bin/env node
/** Measures waves over 35 workers against the baselines: `main.js --seeds 5`. */
import process from 'node:process';
import type {WavePolicyName} from '@rhubarblever/core';
import sade from 'sade';
import {firmShapes, minuteMs, type FirmShape} from './shapes.js';
import {WaveTrial, type TrialResult} from './trial.js';

const policies: readonly WavePolicyName[] = ['fill-budget', 'one-at-a-time', 'fixed-buffer'];
const hourMs = 60 * minuteMs;

function runTrials(firm: FirmShape, policy: WavePolicyName, hasFailure: boolean, seeds: number): TrialResult[] {
	return Array.from({length: seeds}, (_, index) => WaveTrial.create({
		firm, policy, seed: index + 1, hasFailure,
	}).run());
}

function computeMean(results: readonly TrialResult[], pick: (result: TrialResult) => number): number {
	return results.reduce((sum, result) => sum + pick(result), 0) / results.length;
}

function formatRow(name: string, results: readonly TrialResult[]): string {
	const columns = [
		(computeMean(results, result => result.rollOutMs) / minuteMs).toFixed(1),
		(computeMean(results, result => result.leastMs) / minuteMs).toFixed(1),
		computeMean(results, result => result.rollOutMs / result.leastMs).toFixed(3),
		(computeMean(results, result => result.knownMs) / minuteMs).toFixed(1),
		Math.max(...results.map(result => result.rollOutMs / result.leastMs)).toFixed(3),
		(computeMean(results, result => result.bufferMs) / hourMs).toFixed(2),
		computeMean(results, result => result.moves).toFixed(1),
		String(results.reduce((sum, result) => sum + result.violations, 0)),
		`${results.filter(result => result.isDone).length}/${results.length}`,
	];
	return `| ${name} | ${columns.join(' | ')} |`;
}

sade('waves', true)
	.option('--firm', 'Only this firm')
	.option('--seeds', 'Trials of each row', 5)
	.action((flags: {seeds: number; firm?: string}) => {
		process.stdout.write([
			'| firm, failures, policy | roll-out (min) | least (min) | ratio, mean | known times (min) | ratio, worst | buffer (idle host-hours) | moves | violations | done |',
			'|---|---|---|---|---|---|---|---|---|---|',
		].join('\n') + '\n');
		for (const firm of firmShapes.filter(({name}) => name === (flags.firm ?? name))) {
			for (const hasFailure of [false, true]) {
				for (const policy of policies) {
					const name = `${firm.name}, ${hasFailure ? 'a rack fails' : 'none'}, ${policy}`;
					process.stdout.write(`${formatRow(name, runTrials(firm, policy, hasFailure, flags.seeds))}\n`);
				}
			}
		}
	})
	.parse(process.argv);
