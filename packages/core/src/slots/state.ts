/** The queues and grants of stewards, and the known loads of other stewards' queues. */
import type {
	AskId, AvailabilityZone, HostId, ServiceId, TeamId,
} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {AskLanes} from './ask-lanes.js';
import type {SlotAsk, ZoneLoad} from './messages.js';
import type {RunTimes} from './run-times.js';

/** A queued ask. It is dropped unless its holder renews the lease before `leaseUntil`. */
export type QueuedAsk = {
	readonly ask: SlotAsk;
	readonly holder: HostId;
	readonly arrivedAt: Instant;
	leaseUntil: Instant;
};

/** A slot that is granted to its holder, and used or kept there. */
export type Grant = {
	readonly ask: SlotAsk;
	readonly holder: HostId;
	readonly target: HostId;
	leaseUntil: Instant;
	/** Its holder released it without a complete answer. The target may still be running the request, so it counts as in use until the lease expires. */
	mayStillRun: boolean;
	/** Its holder may keep it when its request ends: that was allowed, and the slot has not been recalled since. */
	mayBeKept: boolean;
};

/** What a steward knows: the queue and the grants of one service in one availability zone. */
export type StewardState = {
	readonly service: ServiceId;
	readonly availabilityZone: AvailabilityZone;
	readonly queue: AskLanes;
	readonly grants: Map<AskId, Grant>;
	/** Start-time fair queueing between teams: the start tag of the next ask of each. */
	readonly teamTags: Map<TeamId, number>;
	virtualTime: number;
	/** Whether this host was the chosen steward when last checked. Hosts that choose differently may still send it asks. */
	isChosen: boolean;
	/** Hosts, this one included, that have not yet reported what they hold. */
	readonly awaitedHosts: Set<HostId>;
	/** A new steward grants nothing before this instant, unless all awaited hosts have reported. */
	recoverUntil: Instant;
};

/** The latest load of a queue that its steward gossiped. */
export type KnownLoad = {readonly load: ZoneLoad; readonly from: HostId; readonly validUntil: Instant};

/** The steward that this host reports to for a service and zone, and whether the last report was empty. */
export type ReportedSteward = {
	readonly service: ServiceId;
	readonly availabilityZone: AvailabilityZone;
	steward: HostId | undefined;
	wasEmpty: boolean;
};

export type SlotsState = {
	/** By `getScopeKey`. */
	readonly stewards: Map<string, StewardState>;
	readonly knownLoads: Map<string, KnownLoad>;
	readonly reported: Map<string, ReportedSteward>;
	/** By `getRunTimesKey`. */
	readonly runTimes: Map<string, RunTimes>;
	readonly stoppingPeers: Set<HostId>;
	nextGossipAt: Instant;
	/** The latest gossip as JSON, to detect changes. */
	gossipText: string;
	nextReportAt: Instant;
	grantCount: number;
	/** Number of random draws so far; part of the seed of the next. */
	drawCount: number;
};

/** A state without queues. */
export function createSlotsState(): SlotsState {
	return {
		stewards: new Map(),
		knownLoads: new Map(),
		reported: new Map(),
		runTimes: new Map(),
		stoppingPeers: new Set(),
		nextGossipAt: 0 as Instant,
		gossipText: '',
		nextReportAt: 0 as Instant,
		grantCount: 0,
		drawCount: 0,
	};
}

/** The key of a service's queue in an availability zone. */
export function getScopeKey(service: ServiceId, availabilityZone: AvailabilityZone): string {
	return `${service} ${availabilityZone}`;
}
