/** The soak's fleet: real entry hosts as processes, the stand-in platform, and a fault proxy on each link. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	FaultProxy, JobPlatform, ProcessGroup, standInQueue, takeAddress, waitUntil, type RunningProcess, type RunObserver,
} from '@rhubarblever/stand-ins';
import {request} from 'undici';
import {
	describeSettings, findEntryProgram, findLeadingHost, isHostReady, type EntryAddresses,
} from '../integration/entry-program.js';
import {ReadFaults} from './read-faults.js';

const startTimeoutMs = 30_000;
const callTimeoutMs = 3000;
const keptOutputLength = 4000;

export type SoakHost = EntryAddresses & {
	readonly index: number;
	readonly settingsPath: string;
	/** Its link to the store. */
	readonly storeLink: FaultProxy;
	/** Where that link ends: the store's address for this host only, by which the stand-in recognizes the host's reads. */
	readonly storeAddress: string;
	process: RunningProcess;
	/** True while the soak ends or has ended the process: its exit is then expected. */
	isEnding: boolean;
	/** Number of current faults of the host or its links; a host without any is calm. */
	faults: number;
	calmSince: number;
};

export type CallAnswer = {readonly status: number; readonly state?: string};

export class SoakFleet {
	static async start(options: {readonly hosts: number; readonly workers: number; readonly runMs: number; readonly observer: RunObserver}): Promise<SoakFleet> {
		const addresses = Array.from({length: options.workers}, () => takeAddress());
		const links = await Promise.all(addresses.map(async targetAddress => FaultProxy.create({listenAddress: takeAddress(), targetAddress})));
		const platform = await JobPlatform.start({
			address: takeAddress(), workerAddresses: addresses, publishedAddresses: links.map(link => link.listenAddress), runMs: options.runMs, observer: options.observer,
		});
		const fleet = new SoakFleet(platform, links);
		await fleet.startHosts(options.hosts);
		return fleet;
	}

	readonly hosts: SoakHost[] = [];
	/** Descriptions of hosts that exited without being asked to, with their last output. */
	readonly unexpectedExits: string[] = [];
	readonly readFaults: ReadFaults;
	private readonly group = ProcessGroup.create();
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'rhubarblever-soak-'));

	private constructor(readonly platform: JobPlatform, readonly workerLinks: readonly FaultProxy[]) {
		this.readFaults = ReadFaults.create(platform);
	}

	/** Calls the job API of a host; status 0 if there is no answer. */
	async call(host: SoakHost, method: 'POST' | 'GET' | 'DELETE', jobId: string, body?: unknown): Promise<CallAnswer> {
		try {
			const answer = await request(`http://${host.front}${standInQueue.pathPrefix}${jobId}`, {
				method,
				headers: {host: standInQueue.host, 'content-type': 'application/json', 'deadline-ms': String(callTimeoutMs)},
				...(body !== undefined && {body: JSON.stringify(body)}),
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			return {status: answer.statusCode, ...await answer.body.json() as {state?: string}};
		} catch {
			// A missing answer is an outcome of its own: the job may have been accepted.
			return {status: 0};
		}
	}

	/** Time on the monotonic clock until which entry hosts, their links or the store were last under a fault. */
	getDisturbedUntil(): number {
		return this.hosts.some(host => host.faults > 0) ? performance.now() : Math.max(...this.hosts.map(host => host.calmSince));
	}

	async isReady(host: SoakHost): Promise<boolean> {
		return isHostReady(host, AbortSignal.timeout(callTimeoutMs));
	}

	/** The host whose metrics say that it is the leader. */
	async findLeader(): Promise<SoakHost | undefined> {
		return findLeadingHost(this.hosts, () => AbortSignal.timeout(callTimeoutMs / 10));
	}

	/** Ends a host's process by a signal and waits until it has exited. */
	async endHost(host: SoakHost, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		host.isEnding = true;
		host.process.sendSignal(signal);
		await host.process.waitForEnd();
	}

	/** Starts a new process of a host. */
	startHost(host: SoakHost): void {
		host.process = this.startProgram(host.index, host.settingsPath);
		host.isEnding = false;
		this.trackExit(host);
	}

	/** Waits for all hosts to be ready; returns those that are not ready within the timeout. */
	async listUnready(): Promise<SoakHost[]> {
		const unready: SoakHost[] = [];
		await Promise.all(this.hosts.map(async host => waitUntil('the host is ready', async () => this.isReady(host), startTimeoutMs).catch(() => {
			unready.push(host);
		})));
		return unready;
	}

	async close(): Promise<void> {
		for (const host of this.hosts) {
			host.isEnding = true;
		}

		await this.group.endAll();
		await Promise.all([...this.workerLinks, ...this.hosts.map(host => host.storeLink)].map(async link => link.close()));
		await this.platform.close();
		rmSync(this.folder, {recursive: true});
	}

	private async startHosts(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			const addresses = {front: takeAddress(), ready: takeAddress(), metrics: takeAddress()};
			const storeAddress = takeAddress();
			// eslint-disable-next-line no-await-in-loop
			await this.platform.openEndpoint(storeAddress);
			// eslint-disable-next-line no-await-in-loop
			const storeLink = await FaultProxy.create({listenAddress: takeAddress(), targetAddress: storeAddress});
			const settingsPath = path.join(this.folder, `front-${index}.json`);
			writeFileSync(settingsPath, JSON.stringify(describeSettings(index, storeLink.listenAddress, addresses)));
			const host: SoakHost = {
				...addresses, index, settingsPath, storeLink, storeAddress, process: this.startProgram(index, settingsPath), isEnding: false, faults: 0, calmSince: 0,
			};
			this.hosts.push(host);
			this.trackExit(host);
		}

		const unready = await this.listUnready();
		if (unready.length > 0) {
			throw new Error(`hosts that did not become ready: ${unready.map(host => host.process.output).join('\n')}`);
		}
	}

	private startProgram(index: number, settingsPath: string): RunningProcess {
		return this.group.start(`front-${index}`, findEntryProgram(), [], {RHUBARBLEVER_SETTINGS: settingsPath});
	}

	private trackExit(host: SoakHost): void {
		const tracked = host.process;
		void tracked.waitForEnd().then(({code, signal}) => {
			if (host.process === tracked && !host.isEnding) {
				this.unexpectedExits.push(`front-${host.index} exited by itself (${code ?? signal ?? 'unknown'}): ${tracked.output.slice(-keptOutputLength)}`);
			}
		});
	}
}
