/** Calls the same service straight at a target and through an entry host, in turn, and measures what the entry host adds. */
import {randomUUID} from 'node:crypto';
import {waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {Agent} from 'undici';
import {getMs, measureWays, type MeasuredWay} from './measure-ways.js';

const warmUpCount = 100;
const warmUpTimeoutMs = 30_000;

export type ProbeOptions = {
	readonly fleet: LocalFleet;
	readonly service: string;
	readonly runMs: number;
	/** Pause after each request, in milliseconds. */
	readonly pauseMs: number;
};

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

	/** One request at a time, over all entry hosts and targets in turn; the straight way comes first. */
	async measure(count: number): Promise<MeasuredWay[]> {
		const {service, pauseMs, fleet: {entryHosts, targets: all}} = this.options;
		const targets = all.filter(({host}) => host.service === service);
		const sendThrough = async (round: number, isIdempotent: boolean) => this.sendThrough(entryHosts[round % entryHosts.length]?.address ?? '', isIdempotent);
		return measureWays([
			{name: 'straight to a target', send: async round => this.sendStraight(targets[round % targets.length]?.host.address ?? '')},
			{name: 'entry host, idempotent (no claim)', send: async round => sendThrough(round, true)},
			{name: 'entry host, non-idempotent (claim)', send: async round => sendThrough(round, false)},
		], {count, warmUpCount, pauseMs});
	}

	async close(): Promise<void> {
		await this.agent.destroy();
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

/** What each way adds to the first at a percentile, in milliseconds. */
export function listAddedMs(measured: readonly MeasuredWay[], percentile: number): number[] {
	const [straight] = measured;
	const base = straight ? getMs(straight.histogram, percentile) : 0;
	return measured.map(({histogram}) => getMs(histogram, percentile) - base);
}
