#!/usr/bin/env node
/** Measures what an entry host adds to a call: the same request straight to a target and through an entry host, in turn. */
import {randomUUID} from 'node:crypto';
import {loadavg} from 'node:os';
import process from 'node:process';
import {LocalFleet, sleep, waitUntil} from '@rhubarblever/stand-ins';
import {build, type Histogram} from 'hdr-histogram-js';
import sade from 'sade';
import {Agent} from 'undici';

const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
const service = 'replans';
const warmUpCount = 100;
const warmUpTimeoutMs = 30_000;
const microsecondsPerMs = 1000;
const nanosecondsPerMicrosecond = 1000n;

const records = [
	{
		recordId: 'service-1',
		schema: 'service',
		version: 1,
		body: {
			service, pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
		},
	},
];

/** One way of calling. `isDirect`: past the entry hosts. */
type Way = {readonly name: string; readonly isDirect: boolean; readonly isIdempotent: boolean};

type Measured = {readonly way: Way; readonly histogram: Histogram; unanswered: number};

const ways: readonly Way[] = [
	{name: 'straight to a target', isDirect: true, isIdempotent: true},
	{name: 'entry host, idempotent (no claim)', isDirect: false, isIdempotent: true},
	{name: 'entry host, non-idempotent (claim)', isDirect: false, isIdempotent: false},
];

class LatencyBench {
	static create(fleet: LocalFleet, runMs: number, pauseMs: number): LatencyBench {
		return new LatencyBench(fleet, runMs, pauseMs);
	}

	private readonly agent = new Agent({connections: 1, pipelining: 1});
	private readonly body: string;

	private constructor(private readonly fleet: LocalFleet, runMs: number, private readonly pauseMs: number) {
		this.body = JSON.stringify({runMs});
	}

	/** Waits until every entry host answers requests with claims. */
	async warmUp(): Promise<void> {
		await Promise.all(this.fleet.entryHosts.map(async host => waitUntil(`${host.hostId} answers`, async () =>
			this.sendThrough(host.address, false), warmUpTimeoutMs)));
	}

	/** One request at a time, over all entry hosts and targets in turn; the ways take turns, so that all meet the same machine. */
	async measure(count: number): Promise<Measured[]> {
		const measured = ways.map(way => ({way, histogram: build({numberOfSignificantValueDigits: 3}), unanswered: 0}));
		for (let round = -warmUpCount; round < count; round++) {
			for (const one of measured) {
				const startedAt = process.hrtime.bigint();
				// eslint-disable-next-line no-await-in-loop
				const isAnswered = await this.send(one.way, Math.abs(round));
				const microseconds = Number((process.hrtime.bigint() - startedAt) / nanosecondsPerMicrosecond);
				if (round >= 0) {
					one.histogram.recordValue(microseconds);
					one.unanswered += isAnswered ? 0 : 1;
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(this.pauseMs);
			}
		}

		return measured;
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async send(way: Way, round: number): Promise<boolean> {
		const {entryHosts, targets} = this.fleet;
		return way.isDirect
			? this.sendStraight(targets[round % targets.length]?.host.address ?? '')
			: this.sendThrough(entryHosts[round % entryHosts.length]?.address ?? '', way.isIdempotent);
	}

	private async sendStraight(address: string): Promise<boolean> {
		return this.post(address, '/run', {'idempotency-key': randomUUID(), 'rhubarblever-attempt-id': randomUUID()});
	}

	private async sendThrough(address: string, isIdempotent: boolean): Promise<boolean> {
		return this.post(address, `/v1/services/${service}`, {'idempotency-key': randomUUID(), 'rhubarblever-idempotent': String(isIdempotent)});
	}

	private async post(address: string, path: string, headers: Record<string, string>): Promise<boolean> {
		const response = await this.agent.request({
			origin: `http://${address}`, path, method: 'POST', body: this.body, headers,
		});
		await response.body.arrayBuffer();
		return response.statusCode === 200;
	}
}

function getMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}

/** One line for each way, with what it adds to the straight call at the same percentile. */
function renderTable(measured: readonly Measured[]): string {
	const base = measured.find(({way}) => way.isDirect)?.histogram ?? build();
	const lines = measured.map(({way, histogram, unanswered}) => {
		const cells = [50, 90, 99].map(percentile => {
			const value = getMs(histogram, percentile);
			return `${value.toFixed(2)} (+${(value - getMs(base, percentile)).toFixed(2)})`;
		});
		return `| ${way.name} | ${cells.join(' | ')} | ${unanswered} of ${histogram.totalCount} |`;
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
	const bench = LatencyBench.create(fleet, flags['run-ms'], flags['pause-ms']);
	try {
		await fleet.publish(records);
		await bench.warmUp();
		const measured = await bench.measure(flags.count);
		process.stdout.write(`${fleet.entryHosts.length} entry hosts, ${fleet.targets.length} targets, work of ${flags['run-ms']} ms, load average ${loadavg()[0]?.toFixed(1)}\n\n`);
		process.stdout.write(`${renderTable(measured)}\n`);
	} finally {
		await bench.close();
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
