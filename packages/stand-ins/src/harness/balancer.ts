/** A test double of the platform's load balancer: lists the entry hosts whose last readiness probe succeeded. */
import type {LocalEntryHost} from './fleet-types.js';
import type {LocalFleet} from './local-fleet.js';
import {sleep} from './process-group.js';

const probeIntervalMs = 100;
const probeTimeoutMs = 500;

export class Balancer {
	static create(fleet: LocalFleet): Balancer {
		return new Balancer(fleet);
	}

	private readonly ready = new Set<LocalEntryHost>();
	private readonly probes: Array<Promise<void>>;
	private isStopping = false;

	private constructor(private readonly fleet: LocalFleet) {
		this.probes = fleet.entryHosts.map(async host => this.probe(host));
	}

	/** The ready hosts; all hosts if none is ready, like a load balancer without a healthy host. */
	list(): readonly LocalEntryHost[] {
		return this.ready.size > 0 ? [...this.ready] : this.fleet.entryHosts;
	}

	async stop(): Promise<void> {
		this.isStopping = true;
		await Promise.all(this.probes);
	}

	private async probe(host: LocalEntryHost): Promise<void> {
		while (!this.isStopping) {
			// eslint-disable-next-line no-await-in-loop
			if (await isReady(host)) {
				this.ready.add(host);
			} else {
				this.ready.delete(host);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(probeIntervalMs);
		}
	}
}

async function isReady(host: LocalEntryHost): Promise<boolean> {
	try {
		const response = await fetch(`http://${host.address}/readyz`, {signal: AbortSignal.timeout(probeTimeoutMs)});
		await response.arrayBuffer();
		return response.ok;
	} catch {
		return false;
	}
}
