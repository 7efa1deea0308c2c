/** The settings of an entry host that the core needs, and the entry hosts it knows of. */
import type {AvailabilityZone, HostId, Incarnation} from './ids.js';

/** How to reach an entry host; `address` is `ip:port`. */
export type EntryHost = {
	readonly hostId: HostId;
	readonly availabilityZone: AvailabilityZone;
	readonly address: string;
};

export type CoreSettings = {
	readonly self: EntryHost;
	readonly incarnation: Incarnation;
	/** Entry hosts named in the settings, this one left out. */
	readonly peers: readonly EntryHost[];
	/** Name of the routing policy in `requests/routing-policies.ts`. */
	readonly routingPolicy: string;
	/** How long the platform's log keeps records, in milliseconds; `defaultLogRetentionMs` if not given. */
	readonly logRetentionMs?: number;
	/** Seed of this process's random choices. */
	readonly seed: number;
	/** How long a lease of a running job is; the default if left out. */
	readonly jobLeaseMs?: number;
};
