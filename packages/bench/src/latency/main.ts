#!/usr/bin/env node
/** Measures the latency that an entry host adds to a call: sends the same request directly to a target and through an entry host, in turn. */
import {loadavg} from 'node:os';
import process from 'node:process';
import {
	createServiceRecord, LocalFleet,
} from '@rhubarblever/stand-ins';
import sade from 'sade';
import {LatencyProbe, listAddedMs} from './latency-probe.js';
import {getMs, type MeasuredVariant} from './measure-variants.js';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const service = 'replans';
const percentiles = [50, 90, 99];

const records = [
	createServiceRecord(service),
];

/** One line for each call variant, with the latency that it adds to the direct call at the same percentile. */
function renderTable(measured: readonly MeasuredVariant[]): string {
	const added = percentiles.map(percentile => listAddedMs(measured, percentile));
	const lines = measured.map(({name, histogram, unanswered}, place) => {
		const cells = percentiles.map((percentile, index) => `${getMs(histogram, percentile).toFixed(2)} (+${added[index]?.[place]?.toFixed(2)})`);
		return `| ${name} | ${cells.join(' | ')} | ${unanswered} of ${histogram.totalCount} |`;
	});
	return ['| way | p50 ms (added) | p90 ms (added) | p99 ms (added) | not answered |', '| --- | --- | --- | --- | --- |', ...lines].join('\n');
}

type Flags = {readonly count: number; readonly 'run-ms': number; readonly 'pause-ms': number; readonly 'entry-hosts-per-zone': number};

async function run(flags: Flags): Promise<void> {
	const fleet = await LocalFleet.create({
		availabilityZones: zones,
		entryHostsPerZone: flags['entry-hosts-per-zone'],
		targetsPerZone: 2,
		services: [service],
		environment: {RHUBARBLEVER_LOG_LEVEL: 'error'},
	});
	const probe = LatencyProbe.create({
		fleet, service, runMs: flags['run-ms'], pauseMs: flags['pause-ms'],
	});
	try {
		await fleet.publish(records);
		await probe.runWarmUp();
		const measured = await probe.measure(flags.count);
		process.stdout.write(`${fleet.entryHosts.length} entry hosts, ${fleet.targets.length} targets, work of ${flags['run-ms']} ms, load average ${loadavg()[0]?.toFixed(1)}\n\n`);
		process.stdout.write(`${renderTable(measured)}\n`);
	} finally {
		await probe.close();
		await fleet.stop();
	}
}

sade('latency', true)
	.describe('Measures what an entry host adds to a call straight to a target.')
	.option('--count', 'Requests of each way', 500)
	.option('--run-ms', 'How long each request works, in milliseconds', 1)
	.option('--pause-ms', 'Pause after each request, in milliseconds', 0)
	.option('--entry-hosts-per-zone', 'Entry hosts in each of three zones', 3)
	.action(run)
	.parse(process.argv);
