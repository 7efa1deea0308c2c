/** An entry host with lowered limits, and the ordinary calls that it must still answer. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createJobId, EntryHosts, type EntryHost} from '../integration/entry-hosts.js';
import {ProcessGauge} from './process-gauge.js';

/** The machine's memory and descriptors, in the host's settings. */
export const memoryMb = 200;
export const maxDescriptors = 400;
/** Half of what the deployed program gets, for machines of 250 MB and more. */
const heapMb = 100;
const workers = 2;
const runMs = 50;
/** Callers repeat a call that was refused or got no answer. */
const maxTries = 5;
const retryPauseMs = 500;
const probeTimeoutMs = 2500;
/** What operators publish; clients within these limits must be served. */
const publishedLimits = {
	'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 1000, 'idle-timeout-ms': 2000,
};
/** The host's own limits on clients; the default is far longer than a test. */
const clientLimits = {'body-timeout-ms': 3000};

/** Repeats a call until its status is 200; false if it never is. */
export async function isAnswered(callStatus: () => Promise<number>): Promise<boolean> {
	for (let tries = 0; tries < maxTries; tries++) {
		// eslint-disable-next-line no-await-in-loop
		const status = await callStatus().catch(() => undefined);
		if (status === 200) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(retryPauseMs);
	}

	return false;
}

/** Calls over a connection of its own; resolves to the status once the whole answer is there. */
export async function fetchStatus(url: string, options: RequestInit = {}): Promise<number> {
	const answer = await fetch(url, {...options, headers: {connection: 'close', ...options.headers}, signal: AbortSignal.timeout(probeTimeoutMs)});
	await answer.arrayBuffer();
	return answer.status;
}

export class CrowdedHost {
	static async start(): Promise<CrowdedHost> {
		const fleet = await EntryHosts.start({
			hosts: 1,
			workers,
			runMs,
			settings: {limits: {'memory-mb': memoryMb, 'max-fds': maxDescriptors}, 'client-limits': clientLimits},
			publishedLimits,
			environment: {NODE_OPTIONS: `--max-old-space-size=${heapMb}`},
		});
		return new CrowdedHost(fleet);
	}

	readonly host: EntryHost;
	readonly gauge: ProcessGauge;
	private nextJob = 0;

	private constructor(private readonly fleet: EntryHosts) {
		this.host = fleet.hosts[0]!;
		this.gauge = ProcessGauge.create(this.host.process);
	}

	/** Hands in one ordinary job; true once it is accepted. */
	async isJobAccepted(): Promise<boolean> {
		const id = createJobId(this.nextJob++);
		return isAnswered(async () => {
			const {status} = await this.fleet.callJob(this.host, 'POST', id);
			return status;
		});
	}

	/** Asks each of the host's other servers once; true once both have answered. */
	async hasAnsweredProbes(): Promise<boolean> {
		const {ready, metrics} = this.host;
		const isReadyAnswered = await isAnswered(async () => fetchStatus(`http://${ready}/v1/ready`));
		return isReadyAnswered && isAnswered(async () => fetchStatus(`http://${metrics}/metrics`));
	}

	async close(): Promise<void> {
		this.gauge.close();
		await this.fleet.close();
	}
}
