/** Runs entry hosts as processes on the stand-in of the users' platform, each with its own address of the store, and calls their job API. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	JobPlatform, ProcessGroup, standInQueue, standInTaskCpu, takeAddress, waitUntil, type RunningProcess,
} from '@rhubarblever/stand-ins';
import {request} from 'undici';
import {
	describeSettings, findEntryProgram, findLeadingHost, isHostReady, type EntryAddresses,
} from './entry-program.js';

export const startTimeoutMs = 30_000;
const callTimeoutMs = 5000;
const idDigits = 16;

export type EntryHost = EntryAddresses & {
	readonly index: number;
	readonly settingsPath: string;
	/** The store's address for this host only; the stand-in recognizes the host's reads by it. */
	readonly storeAddress: string;
	process: RunningProcess;
};

export type JobCall = {readonly status: number; readonly state?: string};

/** Number of tasks of each step; each step depends on the one before. */
export type TaskCounts = readonly number[];

export type EntryHostsOptions = {
	readonly hosts: number;
	readonly workers: number;
	readonly runMs: number;
	/** Replaces fields of the hosts' settings files. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** The limits on clients in the operators' configuration. */
	readonly publishedLimits?: Readonly<Record<string, number>>;
	/** Environment variables of the hosts' processes. */
	readonly environment?: NodeJS.ProcessEnv;
};

export class EntryHosts {
	static async start({
		hosts, workers, runMs, settings, publishedLimits, environment,
	}: EntryHostsOptions): Promise<EntryHosts> {
		const platform = await JobPlatform.start({
			address: takeAddress(), workerAddresses: Array.from({length: workers}, () => takeAddress()), runMs, ...(publishedLimits && {publishedLimits}),
		});
		const fleet = new EntryHosts(platform, environment);
		for (let index = 0; index < hosts; index++) {
			// eslint-disable-next-line no-await-in-loop
			await fleet.addHost(index, settings);
		}

		await Promise.all(fleet.hosts.map(async host => fleet.waitForReady(host)));
		return fleet;
	}

	readonly hosts: EntryHost[] = [];
	readonly folder = mkdtempSync(path.join(tmpdir(), 'rhubarblever-'));
	private readonly group = ProcessGroup.create();

	private constructor(readonly platform: JobPlatform, private readonly environment: NodeJS.ProcessEnv = {}) {}

	async close(): Promise<void> {
		await this.group.endAll();
		await this.platform.close();
		rmSync(this.folder, {recursive: true});
	}

	/** Starts a process of the program with a settings file. */
	startProgram(index: number, settingsPath: string): RunningProcess {
		return this.group.start(`front-${index}`, findEntryProgram(), [], {...this.environment, RHUBARBLEVER_SETTINGS: settingsPath});
	}

	/** Restarts a host's process after the previous one has exited. */
	restartHost(host: EntryHost): void {
		host.process = this.startProgram(host.index, host.settingsPath);
	}

	async isReady(host: EntryHost): Promise<boolean> {
		return isHostReady(host);
	}

	async waitForReady(host: EntryHost): Promise<void> {
		await waitUntil('the host is ready', async () => this.isReady(host), startTimeoutMs);
	}

	/** The host whose metrics say that it is the leader. */
	async findLeader(): Promise<EntryHost | undefined> {
		return findLeadingHost(this.hosts, () => undefined);
	}

	/** Calls the job API of a host. */
	async callJob(host: EntryHost, method: 'POST' | 'GET' | 'DELETE', id: string, taskCounts: TaskCounts = [1]): Promise<JobCall> {
		const steps = taskCounts.map((count, step) => ({
			count, cpu: standInTaskCpu, 'mem-mb': 10, 'estimate-ms': 300, ...(step > 0 && {'depends-on': [step - 1]}),
		}));
		const answer = await request(`http://${host.front}${standInQueue.pathPrefix}${id}`, {
			method,
			headers: {host: standInQueue.host, 'content-type': 'application/json'},
			...(method === 'POST' && {body: JSON.stringify({spec: 'plan', steps})}),
			signal: AbortSignal.timeout(callTimeoutMs),
		});
		return {status: answer.statusCode, ...await answer.body.json() as {state?: string}};
	}

	private async addHost(index: number, settings: Readonly<Record<string, unknown>> | undefined): Promise<void> {
		const addresses = {front: takeAddress(), ready: takeAddress(), metrics: takeAddress()};
		const storeAddress = takeAddress();
		await this.platform.openEndpoint(storeAddress);
		const settingsPath = path.join(this.folder, `front-${index}.json`);
		writeFileSync(settingsPath, JSON.stringify(describeSettings(index, storeAddress, addresses, settings)));
		this.hosts.push({
			...addresses, index, settingsPath, storeAddress, process: this.startProgram(index, settingsPath),
		});
	}
}

/** Maps a job's number to its id. Consecutive numbers give ids in no particular order, as callers choose their ids freely. */
export function createJobId(number: number): string {
	// The factor is 2^64 divided by the golden ratio: it spreads consecutive numbers evenly.
	const mixed = BigInt.asUintN(64, BigInt(number + 1) * 0x9E_37_79_B9_7F_4A_7C_15n);
	return mixed.toString(16).padStart(idDigits, '0');
}
