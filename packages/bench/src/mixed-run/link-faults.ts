/** Faults of links between entry hosts, targets and the platform. Several faults may affect one link; it heals when the last of them ends. */
import type {FleetLink} from '@rhubarblever/stand-ins';

export type ApplyToLink = (link: FleetLink) => Promise<void> | void;
type ActiveFault = {readonly links: readonly FleetLink[]; readonly apply: ApplyToLink};

export class LinkFaults {
	static create(): LinkFaults {
		return new LinkFaults();
	}

	private readonly active = new Set<ActiveFault>();

	private constructor() {}

	/** Applies a fault to links; call the returned function to end it. */
	async start(links: readonly FleetLink[], strike: ApplyToLink): Promise<() => Promise<void>> {
		const fault: ActiveFault = {links, apply: strike};
		this.active.add(fault);
		await Promise.all(links.map(async link => strike(link)));
		return async () => this.end(fault);
	}

	/** Heals the links of a fault, then reapplies the other faults that are still active on them. */
	private async end(fault: ActiveFault): Promise<void> {
		this.active.delete(fault);
		await Promise.all(fault.links.map(async link => {
			await link.proxy.heal();
			for (const other of this.active) {
				if (other.links.includes(link)) {
					// eslint-disable-next-line no-await-in-loop
					await other.apply(link);
				}
			}
		}));
	}
}
