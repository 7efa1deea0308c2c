/** The proxied links of a local fleet: one fault proxy for each entry host and each host or platform that it calls. */
import {FaultProxy} from '../proxy/fault-proxy.js';
import {takeAddress} from './addresses.js';

/** One directed link. `to` is a host id, or `platformId` for the platform. */
export type FleetLink = {
	readonly from: string;
	readonly fromZone: string;
	readonly to: string;
	/** Undefined for the platform, which is in no availability zone. */
	readonly toZone: string | undefined;
	readonly proxy: FaultProxy;
};

export type LinkEnd = {readonly hostId: string; readonly availabilityZone: string | undefined; readonly address: string};

export const platformId = 'platform';

export class FleetLinks {
	static create(): FleetLinks {
		return new FleetLinks();
	}

	private readonly links: FleetLink[] = [];

	private constructor() {}

	/** Opens a link from an entry host, or returns the existing one. Resolves to the proxy's address, which the entry host calls. */
	async open(from: {readonly hostId: string; readonly availabilityZone: string}, to: LinkEnd): Promise<string> {
		const known = this.findLink(from.hostId, to.hostId);
		if (known) {
			return known.proxy.listenAddress;
		}

		const proxy = await FaultProxy.create({listenAddress: takeAddress(), targetAddress: to.address});
		this.links.push({
			from: from.hostId, fromZone: from.availabilityZone, to: to.hostId, toZone: to.availabilityZone, proxy,
		});
		return proxy.listenAddress;
	}

	/** The link from one host to another. */
	findLink(from: string, to: string): FleetLink | undefined {
		return this.links.find(link => link.from === from && link.to === to);
	}

	/** The links that match a predicate; all by default. */
	list(isMatch: (link: FleetLink) => boolean = () => true): FleetLink[] {
		return this.links.filter(link => isMatch(link));
	}

	async closeAll(): Promise<void> {
		await Promise.all(this.links.map(async link => link.proxy.close()));
	}
}
