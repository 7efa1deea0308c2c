/** Runs a small fleet of real processes on loopback addresses: platform, targets and entry hosts. */
import {listedHostSchema, type ListedHost} from '@rhubarblever/core';
import {callJson} from '../http-client.js';
import type {PlatformLedgerEntry} from '../platform/ledger.js';
import type {TargetLedgerReport} from '../target/target-ledger.js';
import type {TargetSettings} from '../target/work.js';
import {takeAddress} from './addresses.js';
import {FleetLinks, platformId} from './fleet-links.js';
import type {
	FleetShape, LocalEntryHost, LocalTarget, PlannedEntryHost,
} from './fleet-types.js';
import {ProcessGroup, waitUntil, type RunningProcess} from './process-group.js';
import {daemonScript, platformScript, targetScript} from './scripts.js';

/** A record to publish, with the fields of the log's envelope. */
export type PublishableRecord = {
	readonly recordId: string;
	readonly schema: string;
	readonly version: number;
	readonly basedOn?: number;
	readonly body: unknown;
};

export type HostLedger = TargetLedgerReport & {readonly hostId: string};

export const operatorToken = 'operator-token-of-tests';
export const peerToken = 'peer-token-of-tests';
const startTimeoutMs = 30_000;

export class LocalFleet {
	static async create(shape: FleetShape): Promise<LocalFleet> {
		const fleet = new LocalFleet(shape);
		try {
			await fleet.start();
		} catch (error) {
			await fleet.stop();
			throw error;
		}

		return fleet;
	}

	readonly processes = ProcessGroup.create();
	readonly links = FleetLinks.create();
	readonly entryHosts: LocalEntryHost[] = [];
	readonly targets: LocalTarget[] = [];
	platformAddress = '';
	private listedHosts: ListedHost[] = [];
	/** Addresses at which the platform serves each entry host its own host list, by host id. */
	private readonly viewAddresses = new Map<string, string>();

	private constructor(private readonly shape: FleetShape) {}

	/** Bytes sent between entry hosts so far; counts only calls that go through proxies. */
	get peerBytes(): number {
		const links = this.links.list(link => link.to.startsWith('entry-'));
		return links.reduce((sum, link) => sum + link.proxy.forwardedBytes, 0);
	}

	/** Whether the platform serves each entry host its own view: a host list with the proxies' addresses, at a separate address. */
	private get hasViews(): boolean {
		return this.shape.isProxied ?? this.shape.isPeerTrafficCounted ?? false;
	}

	/** Cuts the links from an availability zone's entry hosts to the platform. */
	async cutZoneFromPlatform(zone: string): Promise<void> {
		const links = this.links.list(link => link.fromZone === zone && link.to === platformId);
		await Promise.all(links.map(async link => link.proxy.cut()));
	}

	/** Cuts the links between two availability zones, in both directions. */
	async cutZones(zoneA: string, zoneB: string): Promise<void> {
		const links = this.links.list(link =>
			(link.fromZone === zoneA && link.toZone === zoneB) || (link.fromZone === zoneB && link.toZone === zoneA));
		await Promise.all(links.map(async link => link.proxy.cut()));
	}

	/** Ends the injected faults of all proxied links. */
	async healAll(): Promise<void> {
		await Promise.all(this.links.list().map(async link => link.proxy.heal()));
	}

	/** Kills an entry host with SIGKILL; it stays on the platform's host list. */
	async killEntryHost(index: number): Promise<void> {
		const {running} = this.getEntryHost(index);
		running.sendSignal('SIGKILL');
		await running.waitForEnd();
	}

	/** Stops an entry host with SIGTERM; resolves to its exit code. */
	async stopEntryHost(index: number): Promise<number | undefined> {
		const {running} = this.getEntryHost(index);
		running.sendSignal('SIGTERM');
		const end = await running.waitForEnd();
		return end.code;
	}

	/** Restarts an entry host at its address once its process has ended; `environment` overrides its settings. */
	async restartEntryHost(index: number, environment: NodeJS.ProcessEnv = {}): Promise<LocalEntryHost> {
		const host = this.getEntryHost(index);
		await host.running.waitForEnd();
		host.running = await this.startEntryHost(host, environment);
		return host;
	}

	/** Adds an entry host to an availability zone and to the platform's host list, without waiting until it is ready. */
	async addEntryHost(zone: string): Promise<LocalEntryHost> {
		// Counts the entry hosts of all zones, so that the id is new in each zone.
		const planned = this.planEntryHost(zone, this.entryHosts.length + 1);
		this.listedHosts.push(describeEntryHost(planned));
		const host: LocalEntryHost = {...planned, running: await this.startEntryHost(planned, {})};
		this.entryHosts.push(host);
		await this.sendHostList();
		return host;
	}

	/** Waits until an entry host reports that it is ready. */
	async waitForReady(host: LocalEntryHost): Promise<void> {
		await waitUntil(`${host.hostId} is ready`, async () => {
			const response = await fetch(`http://${host.address}/readyz`);
			return response.ok;
		}, startTimeoutMs);
	}

	/** Publishes records through an entry host; throws an error with its answer if it rejects them. */
	async publish(records: readonly PublishableRecord[], entryHost: LocalEntryHost = this.getEntryHost(0)): Promise<unknown> {
		return callJson('POST', `http://${entryHost.address}/v1/records`, {records}, {authorization: `Bearer ${operatorToken}`});
	}

	/** The fleet state that an entry host reports to operators. */
	async fetchFleet(entryHost: LocalEntryHost): Promise<unknown> {
		return callJson('GET', `http://${entryHost.address}/v1/fleet`, undefined, {authorization: `Bearer ${operatorToken}`});
	}

	/** Reads the ledgers of all targets whose processes still run. */
	async readLedgers(): Promise<HostLedger[]> {
		return Promise.all(this.targets.filter(target => target.running.isRunning).map(async target => {
			const ledger = await this.callTarget(target.host.hostId, 'GET', 'ledger') as TargetLedgerReport;
			return {...ledger, hostId: target.host.hostId};
		}));
	}

	/** Sets how a target handles all requests; settings that are left out return to their defaults. */
	async setTarget(hostId: string, settings: Partial<TargetSettings>): Promise<void> {
		await this.callTarget(hostId, 'PUT', 'settings', settings);
	}

	/** Simulates a kill of a target; its ledger stays readable. */
	async crashTarget(hostId: string): Promise<void> {
		await this.callTarget(hostId, 'POST', 'crash', {});
	}

	/** Starts a target again after a crash. */
	async startTarget(hostId: string): Promise<void> {
		await this.callTarget(hostId, 'POST', 'start', {});
	}

	/** Changes a host's entry on the platform's host list. */
	async updateListedHost(hostId: string, changes: Partial<ListedHost>): Promise<void> {
		this.listedHosts = this.listedHosts.map(host => host.hostId === hostId ? {...host, ...changes} : host);
		await this.sendHostList();
	}

	/** Removes a host from the platform's host list. */
	async removeListedHost(hostId: string): Promise<void> {
		this.listedHosts = this.listedHosts.filter(host => host.hostId !== hostId);
		await this.sendHostList();
	}

	/** Calls the platform directly, bypassing the proxies. */
	async callPlatform(method: string, path: string, body?: unknown): Promise<unknown> {
		return callJson(method, `http://${this.platformAddress}${path}`, body);
	}

	/** Reads the platform's ledger: all events so far, in order. */
	async readPlatformLedger(): Promise<readonly PlatformLedgerEntry[]> {
		const answer = await this.callPlatform('GET', '/v1/control/ledger') as {readonly entries: readonly PlatformLedgerEntry[]};
		return answer.entries;
	}

	async stop(): Promise<void> {
		await this.processes.endAll();
		await this.links.closeAll();
	}

	private async callTarget(hostId: string, method: string, action: string, body?: unknown): Promise<unknown> {
		const target = this.targets.find(candidate => candidate.host.hostId === hostId);
		if (!target) {
			throw new Error(`there is no target ${hostId}`);
		}

		return callJson(method, `http://${target.controlAddress}/targets/${target.host.address}/${action}`, body);
	}

	private getEntryHost(index: number): LocalEntryHost {
		const host = this.entryHosts[index];
		if (!host) {
			throw new Error(`there is no entry host ${index}`);
		}

		return host;
	}

	private async start(): Promise<void> {
		const {availabilityZones, entryHostsPerZone, hosts = [], platformFlags = []} = this.shape;
		this.startTargets();
		const planned = availabilityZones.flatMap(zone =>
			Array.from({length: entryHostsPerZone}, (_, index) => this.planEntryHost(zone, index + 1)));
		this.listedHosts = [...this.targets.map(target => target.host), ...planned.map(host => describeEntryHost(host)), ...hosts];
		this.platformAddress = takeAddress();
		const platform = this.processes.start('platform', platformScript, [
			'--listen', this.platformAddress, '--hosts', JSON.stringify(this.listedHosts), ...platformFlags,
		]);
		await platform.waitForOutput('listening', startTimeoutMs);
		this.entryHosts.push(...await Promise.all(planned.map(async host => ({...host, running: await this.startEntryHost(host, {})}))));
		await Promise.all(this.entryHosts.map(async host => this.waitForReady(host)));
	}

	private planEntryHost(availabilityZone: string, number: number): PlannedEntryHost {
		return {hostId: `entry-${availabilityZone}-${number}`, availabilityZone, address: takeAddress()};
	}

	private async startEntryHost(host: PlannedEntryHost, environment: NodeJS.ProcessEnv): Promise<RunningProcess> {
		const platform = this.hasViews ? await this.openPlatformView(host) : this.platformAddress;
		const entryHosts = this.listedHosts.filter(listed => listed.role === 'entry');
		const peers = await Promise.all(entryHosts.map(async peer => {
			const address = await this.findAddress(host, peer);
			return `${peer.hostId}=${peer.availabilityZone}@${address}`;
		}));
		return this.processes.start(host.hostId, daemonScript, [], {
			RHUBARBLEVER_HOST_ID: host.hostId,
			RHUBARBLEVER_AVAILABILITY_ZONE: host.availabilityZone,
			RHUBARBLEVER_LISTEN: host.address,
			RHUBARBLEVER_PLATFORM: platform,
			RHUBARBLEVER_PEERS: peers.join(','),
			RHUBARBLEVER_OPERATOR_TOKEN: operatorToken,
			RHUBARBLEVER_PEER_TOKEN: peerToken,
			RHUBARBLEVER_INVARIANTS: 'fatal',
			...this.shape.environment,
			...environment,
		});
	}

	/** The address at which an entry host reaches another host: a proxy's address where the link is proxied. */
	private async findAddress(from: PlannedEntryHost, to: ListedHost): Promise<string> {
		const isProxied = this.shape.isProxied ?? (this.shape.isPeerTrafficCounted && to.role === 'entry');
		return isProxied && from.hostId !== to.hostId ? this.links.open(from, to) : to.address;
	}

	/** Makes the platform serve an entry host at a separate address, with a host list that holds the addresses of the host's proxies. */
	private async openPlatformView(host: PlannedEntryHost): Promise<string> {
		const listen = this.viewAddresses.get(host.hostId) ?? takeAddress();
		this.viewAddresses.set(host.hostId, listen);
		const reachable = this.listedHosts.filter(listed => listed.role !== 'worker');
		const addresses = await Promise.all(reachable.map(async listed => [listed.hostId, await this.findAddress(host, listed)] as const));
		await this.callPlatform('PUT', '/v1/control/views', {listen, addresses: Object.fromEntries(addresses)});
		return this.shape.isProxied ? this.links.open(host, {hostId: platformId, availabilityZone: undefined, address: listen}) : listen;
	}

	private async sendHostList(): Promise<void> {
		if (this.hasViews) {
			await Promise.all(this.entryHosts.map(async host => this.openPlatformView(host)));
		}

		await this.callPlatform('PUT', '/v1/control/hosts', {hosts: this.listedHosts});
	}

	private startTargets(): void {
		const planned = planTargets(this.shape);
		const {targetsPerProcess = 1, targetFlags = []} = this.shape;
		for (let index = 0; index < planned.length; index += targetsPerProcess) {
			const hosts = planned.slice(index, index + targetsPerProcess);
			const addresses = hosts.map(host => host.address).join(',');
			const controlAddress = takeAddress();
			const flags = ['--listen', addresses, '--control', controlAddress, ...targetFlags];
			const running = this.processes.start(hosts[0]?.hostId ?? 'target', targetScript, flags);
			this.targets.push(...hosts.map(host => ({host, running, controlAddress})));
		}
	}
}

function planTargets({
	availabilityZones, services, targetsPerZone, targetsPerService = targetsPerZone * availabilityZones.length,
}: FleetShape): ListedHost[] {
	return services.flatMap(service => Array.from({length: targetsPerService}, (_, index) => {
		const availabilityZone = availabilityZones[index % availabilityZones.length];
		return listedHostSchema.parse({
			hostId: `runner-${service}-${availabilityZone}-${Math.floor(index / availabilityZones.length) + 1}`,
			role: 'runner',
			availabilityZone,
			address: takeAddress(),
			service,
			state: 'live',
		});
	}));
}

function describeEntryHost(host: PlannedEntryHost): ListedHost {
	return listedHostSchema.parse({...host, role: 'entry', state: 'live'});
}
