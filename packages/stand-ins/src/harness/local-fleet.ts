/** A whole small fleet of real processes on loopback: platform, targets and entry hosts. */
import {listedHostSchema, type ListedHost} from '@rhubarblever/core';
import {takeAddress} from './addresses.js';
import {ProcessGroup, waitUntil, type RunningProcess} from './process-group.js';
import {daemonScript, platformScript, targetScript} from './scripts.js';

export type FleetShape = {
	readonly availabilityZones: readonly string[];
	readonly entryHostsPerZone: number;
	/** Targets of each service in each availability zone. */
	readonly targetsPerZone: number;
	readonly services: readonly string[];
};

export type LocalEntryHost = {
	readonly hostId: string;
	readonly availabilityZone: string;
	readonly address: string;
	running: RunningProcess;
};

export type LocalTarget = {readonly host: ListedHost; readonly running: RunningProcess};

export const operatorToken = 'operator-token-of-tests';
export const peerToken = 'peer-token-of-tests';
const startTimeoutMs = 30_000;

export class LocalFleet {
	static async create(shape: FleetShape): Promise<LocalFleet> {
		const fleet = new LocalFleet();
		try {
			await fleet.start(shape);
		} catch (error) {
			await fleet.stop();
			throw error;
		}

		return fleet;
	}

	readonly processes = ProcessGroup.create();
	readonly entryHosts: LocalEntryHost[] = [];
	readonly targets: LocalTarget[] = [];
	platformAddress = '';

	private constructor() {}

	/** The settings of an entry host as environment variables. */
	describeEnvironment(host: Omit<LocalEntryHost, 'running'>, all: ReadonlyArray<Omit<LocalEntryHost, 'running'>>): NodeJS.ProcessEnv {
		return {
			RHUBARBLEVER_HOST_ID: host.hostId,
			RHUBARBLEVER_AVAILABILITY_ZONE: host.availabilityZone,
			RHUBARBLEVER_LISTEN: host.address,
			RHUBARBLEVER_PLATFORM: this.platformAddress,
			RHUBARBLEVER_PEERS: all.map(peer => `${peer.hostId}=${peer.availabilityZone}@${peer.address}`).join(','),
			RHUBARBLEVER_OPERATOR_TOKEN: operatorToken,
			RHUBARBLEVER_PEER_TOKEN: peerToken,
			RHUBARBLEVER_INVARIANTS: 'fatal',
		};
	}

	async stop(): Promise<void> {
		await this.processes.endAll();
	}

	private async start(shape: FleetShape): Promise<void> {
		this.platformAddress = takeAddress();
		for (const availabilityZone of shape.availabilityZones) {
			for (const service of shape.services) {
				for (let index = 0; index < shape.targetsPerZone; index++) {
					this.startTarget(availabilityZone, service, index, takeAddress());
				}
			}
		}

		const platform = this.processes.start('platform', platformScript, [
			'--listen', this.platformAddress, '--hosts', JSON.stringify(this.targets.map(target => target.host)),
		]);
		await platform.waitForOutput('listening', startTimeoutMs);
		const planned = shape.availabilityZones.flatMap(availabilityZone =>
			Array.from({length: shape.entryHostsPerZone}, (_, index) => ({
				hostId: `entry-${availabilityZone}-${index + 1}`, availabilityZone, address: takeAddress(),
			})));
		for (const host of planned) {
			const running = this.processes.start(host.hostId, daemonScript, [], this.describeEnvironment(host, planned));
			this.entryHosts.push({...host, running});
		}

		await Promise.all(this.entryHosts.map(async host => waitUntil(`${host.hostId} is ready`, async () => {
			const response = await fetch(`http://${host.address}/readyz`);
			return response.ok;
		}, startTimeoutMs)));
	}

	private startTarget(availabilityZone: string, service: string, index: number, address: string): void {
		const hostId = `runner-${service}-${availabilityZone}-${index + 1}`;
		const host = listedHostSchema.parse({
			hostId, role: 'runner', availabilityZone, address, service, state: 'live',
		});
		this.targets.push({host, running: this.processes.start(hostId, targetScript, ['--listen', address])});
	}
}
