/** Addresses of entry hosts, and the settings that the core needs. */
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
	/** The other entry hosts that the settings name. */
	readonly peers: readonly EntryHost[];
	/** Name of the routing policy in `requests/routing-policies.ts`. */
	readonly routingPolicy: string;
	/** How long the platform's log keeps records, in milliseconds; `defaultLogRetentionMs` if not given. */
	readonly logRetentionMs?: number;
	/** Seed of this process's random choices. */
	readonly seed: number;
	/** Duration of a running job's lease, in milliseconds; `defaultJobLeaseMs` if not given. */
	readonly jobLeaseMs?: number;
};
