/** Calls the same service straight at a target and through an entry host, in turn, and measures what the entry host adds. */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {sleep, waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';

const warmUpCount = 100;
const warmUpTimeoutMs = 30_000;
const microsecondsPerMs = 1000;
const nanosecondsPerMicrosecond = 1000n;

/** One way of calling. `isDirect`: past the entry hosts. */
export type Way = {readonly name: string; readonly isDirect: boolean; readonly isIdempotent: boolean};

export type MeasuredWay = {readonly way: Way; readonly histogram: Histogram; unanswered: number};

export type ProbeOptions = {
	readonly fleet: LocalFleet;
	readonly service: string;
	readonly runMs: number;
	/** Pause after each request, in milliseconds. */
	readonly pauseMs: number;
};

const ways: readonly Way[] = [
	{name: 'straight to a target', isDirect: true, isIdempotent: true},
	{name: 'entry host, idempotent (no claim)', isDirect: false, isIdempotent: true},
	{name: 'entry host, non-idempotent (claim)', isDirect: false, isIdempotent: false},
];

export class LatencyProbe {
	static create(options: ProbeOptions): LatencyProbe {
		return new LatencyProbe(options);
	}

	private readonly agent = new Agent({connections: 1, pipelining: 1});
	private readonly body: string;

	private constructor(private readonly options: ProbeOptions) {
		this.body = JSON.stringify({runMs: options.runMs});
	}

	/** Waits until every entry host answers requests with claims. */
	async runWarmUp(): Promise<void> {
		await Promise.all(this.options.fleet.entryHosts.map(async host => waitUntil(`${host.hostId} answers`, async () =>
			this.sendThrough(host.address, false), warmUpTimeoutMs)));
	}

	/** One request at a time, over all entry hosts and targets in turn; the ways take turns, so that all meet the same machine. */
	async measure(count: number): Promise<MeasuredWay[]> {
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
				await sleep(this.options.pauseMs);
			}
		}

		return measured;
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async send(way: Way, round: number): Promise<boolean> {
		const {service, fleet: {entryHosts, targets: all}} = this.options;
		const targets = all.filter(({host}) => host.service === service);
		return way.isDirect
			? this.sendStraight(targets[round % targets.length]?.host.address ?? '')
			: this.sendThrough(entryHosts[round % entryHosts.length]?.address ?? '', way.isIdempotent);
	}

	private async sendStraight(address: string): Promise<boolean> {
		return this.sendPost(address, '/run', {'idempotency-key': randomUUID(), 'rhubarblever-attempt-id': randomUUID()});
	}

	private async sendThrough(address: string, isIdempotent: boolean): Promise<boolean> {
		return this.sendPost(address, `/v1/services/${this.options.service}`, {'idempotency-key': randomUUID(), 'rhubarblever-idempotent': String(isIdempotent)});
	}

	private async sendPost(address: string, path: string, headers: Record<string, string>): Promise<boolean> {
		const response = await this.agent.request({
			origin: `http://${address}`, path, method: 'POST', body: this.body, headers,
		});
		await response.body.arrayBuffer();
		return response.statusCode === 200;
	}
}

/** A percentile in milliseconds. */
export function getMs(histogram: Histogram, percentile: number): number {
	return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}

/** What each way adds to the straight one at a percentile, in milliseconds. */
export function listAddedMs(measured: readonly MeasuredWay[], percentile: number): number[] {
	const straight = measured.find(({way}) => way.isDirect);
	const base = straight ? getMs(straight.histogram, percentile) : 0;
	return measured.map(({histogram}) => getMs(histogram, percentile) - base);
}
