#!/usr/bin/env node
/** Runs a load: `main.js --entry-hosts ip:port,ip:port --services routes,replans --seconds 20 --rate 100 --seed 1`. */
import process from 'node:process';
import sade from 'sade';
import {defaultClasses, planLoad} from './arrivals.js';
import {describeLoadRun} from './load-report.js';
import {runLoad} from './load-run.js';

type Flags = {
	readonly 'entry-hosts': string; readonly services: string; readonly seconds: number; readonly rate: number; readonly seed: number;
	readonly 'burst-seconds': number; readonly 'calm-seconds': number; readonly teams: number;
};

sade('load', true)
	.option('--entry-hosts', 'ip:port of each, separated by commas', '127.0.0.1:8000')
	.option('--services', 'Names of services, separated by commas', 'routes')
	.option('--seconds', 'How long it lasts', 20)
	.option('--rate', 'Mean requests a second of each service', 50)
	.option('--burst-seconds', 'How long each burst lasts', 3)
	.option('--calm-seconds', 'How long it goes on without bursts at first', 3)
	.option('--teams', 'Teams of each service', 3)
	.option('--seed', 'Seed of all random choices', 1)
	.action(async (flags: Flags) => {
		const entryHosts = String(flags['entry-hosts']).split(',');
		const planned = planLoad({
			seed: flags.seed,
			services: String(flags.services).split(','),
			meanRate: flags.rate,
			durationMs: flags.seconds * 1000,
			burstMs: flags['burst-seconds'] * 1000,
			calmMs: flags['calm-seconds'] * 1000,
			classes: defaultClasses,
			teams: flags.teams,
		});
		const outcomes = await runLoad({planned, listEntryHosts: () => entryHosts});
		process.stdout.write(`${JSON.stringify(describeLoadRun(outcomes), undefined, '\t')}\n`);
	})
	.parse(process.argv);
