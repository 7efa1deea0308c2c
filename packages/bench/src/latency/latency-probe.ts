/** Calls the same service directly at a target and through an entry host, in turn, and measures the latency that the entry host adds. */
import {randomUUID} from 'node:crypto';
import {waitUntil, type LocalFleet} from '@rhubarblever/stand-ins';
import {Agent} from 'undici';
import {getMs, measureVariants, type MeasuredVariant} from './measure-variants.js';

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
			this.sendThroughEntryHost(host.address, false), warmUpTimeoutMs)));
	}

	/** Sends one request at a time to all entry hosts and targets in turn; the direct call is the first variant. */
	async measure(count: number): Promise<MeasuredVariant[]> {
		const {service, pauseMs, fleet: {entryHosts, targets: all}} = this.options;
		const targets = all.filter(({host}) => host.service === service);
		const sendThroughEntryHost = async (round: number, isIdempotent: boolean) => this.sendThroughEntryHost(entryHosts[round % entryHosts.length]?.address ?? '', isIdempotent);
		return measureVariants([
			{name: 'straight to a target', send: async round => this.sendDirect(targets[round % targets.length]?.host.address ?? '')},
			{name: 'entry host, idempotent (no claim)', send: async round => sendThroughEntryHost(round, true)},
			{name: 'entry host, non-idempotent (claim)', send: async round => sendThroughEntryHost(round, false)},
		], {count, warmUpCount, pauseMs});
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async sendDirect(address: string): Promise<boolean> {
		return this.sendPost(address, '/run', {'idempotency-key': randomUUID(), 'rhubarblever-attempt-id': randomUUID()});
	}

	private async sendThroughEntryHost(address: string, isIdempotent: boolean): Promise<boolean> {
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

/** The latency that each variant adds to the first one at a percentile, in milliseconds. */
export function listAddedMs(measured: readonly MeasuredVariant[], percentile: number): number[] {
	const [direct] = measured;
	const base = direct ? getMs(direct.histogram, percentile) : 0;
	return measured.map(({histogram}) => getMs(histogram, percentile) - base);
}
