#!/usr/bin/env node
/** The mixed run: `main.js --seed 1 --minutes 2`. Exits with code 0 only if all promises were kept. */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import sade from 'sade';
import {createFaultTable, type FaultTable} from './fault-kinds.js';
import {runMixed, type MixedRunResult} from './mixed-run.js';
import {describeFault, drawSchedule} from './schedule.js';
import type {Verdict} from './verdict.js';

type Flags = {
	readonly seed: number; readonly minutes: number; readonly 'calm-tail-s': number; readonly 'hosts-per-zone': number;
	readonly 'mean-gap-s': number; readonly rate: number; readonly only?: string; readonly report?: string; readonly 'list-faults'?: boolean;
};

const usageErrorCode = 2;
const interruptedCode = 130;

function writeLine(text: string): void {
	process.stdout.write(`${new Date().toISOString().slice(11, 23)}  ${text}\n`);
}

/** Selects the kinds of faults named by `--only`; undefined if one is unknown. */
function selectFaultKinds(table: FaultTable, only: string | undefined): FaultTable | undefined {
	const names = only === undefined ? Object.keys(table) : only.split(',');
	return names.every(name => Object.hasOwn(table, name)) ? Object.fromEntries(names.map(name => [name, table[name]!])) : undefined;
}

function describeVerdict({promise, isKept, figures, cases}: Verdict): string {
	return [`${isKept ? 'kept  ' : 'BROKEN'} ${promise}: ${figures}`, ...cases.map(text => `         ${text}`)].join('\n');
}

function describeResult({verdicts, load, counts, neverApplied, remarks}: MixedRunResult): string {
	return [
		`calls: ${load.sent}, ${JSON.stringify(load.results)}`,
		`reasons: ${JSON.stringify(load.reasons)}`,
		`tried: ${Object.entries(counts).map(([what, count]) => `${what} ${count}`).join(', ')}`,
		`never applied: ${neverApplied.join(', ') || 'none'}`,
		...remarks.map(remark => `not as planned: ${remark}`),
		...verdicts.map(verdict => describeVerdict(verdict)),
	].join('\n');
}

async function run(flags: Flags): Promise<void> {
	const allKinds = createFaultTable(flags['hosts-per-zone']);
	if (flags['list-faults']) {
		process.stdout.write(`${Object.keys(allKinds).join('\n')}\n`);
		return;
	}

	const table = selectFaultKinds(allKinds, flags.only);
	if (!table) {
		process.stderr.write(`--only names an unknown kind of fault; the kinds: ${Object.keys(allKinds).join(', ')}\n`);
		process.exitCode = usageErrorCode;
		return;
	}

	const durationMs = flags.minutes * 60_000;
	const schedule = drawSchedule({seed: flags.seed, durationMs, meanGapMs: flags['mean-gap-s'] * 1000}, table);
	process.stdout.write(`seed ${flags.seed}, ${flags.minutes} minutes, ${schedule.length} faults:\n${schedule.map(fault => describeFault(fault)).join('\n')}\n`);
	const result = await runMixed({
		seed: flags.seed, durationMs, calmTailMs: flags['calm-tail-s'] * 1000, entryHostsPerZone: flags['hosts-per-zone'], meanRate: flags.rate, table, schedule, writeLine,
	});
	const isKept = result.verdicts.every(verdict => verdict.isKept);
	process.stdout.write(`${describeResult(result)}\n${isKept ? 'all promises held' : 'NOT all promises held'}\n`);
	if (flags.report !== undefined) {
		await writeFile(flags.report, `${JSON.stringify({flags, schedule, ...result}, undefined, '\t')}\n`);
	}

	process.exitCode = isKept ? 0 : 1;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.on(signal, () => {
		process.stdout.write(`ended by ${signal}; nothing is judged\n`);
		process.exit(interruptedCode);
	});
}

sade('mixed-run', true)
	.describe('Runs a fleet of real processes under a schedule of faults drawn from a seed, and judges the promises.')
	.option('--seed', 'Seed of the schedule and of all work', 1)
	.option('--minutes', 'How long there are faults', 2)
	.option('--calm-tail-s', 'How long the run goes on after the last fault, in seconds', 40)
	.option('--hosts-per-zone', 'Entry hosts in each of three availability zones', 2)
	.option('--mean-gap-s', 'Mean time from one fault to the next, in seconds', 1.5)
	.option('--rate', 'Mean requests a second of each service', 12)
	.option('--only', 'Only these kinds of faults, separated by commas')
	.option('--list-faults', 'Lists the kinds of faults and ends')
	.option('--report', 'Writes a JSON report to this file')
	.action(run)
	.parse(process.argv);
