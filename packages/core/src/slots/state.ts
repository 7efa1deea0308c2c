/** Slots as a steward grants them, and what other stewards say of theirs. */
import type {
	AskId, AvailabilityZone, HostId, ServiceId, TeamId,
} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {AskLanes} from './ask-lanes.js';
import type {SlotAsk, ZoneLoad} from './messages.js';
import type {RunTimes} from './run-times.js';

/** An ask that waits; dropped when its holder is silent past `leaseUntil`. */
export type QueuedAsk = {
	readonly ask: SlotAsk;
	readonly holder: HostId;
	readonly arrivedAt: Instant;
	leaseUntil: Instant;
};

/** A slot in use. */
export type Grant = {
	readonly ask: SlotAsk;
	readonly holder: HostId;
	readonly target: HostId;
	leaseUntil: Instant;
	/** Its holder has ended, but the target may still be at work: kept until the lease lapses. */
	mayStillRun: boolean;
	/** Its holder was not told yet to give it back when its request ends. */
	mayBeKept: boolean;
};

/** The queue and the grants of one service in one availability zone. */
export type StewardState = {
	readonly service: ServiceId;
	readonly availabilityZone: AvailabilityZone;
	readonly queue: AskLanes;
	readonly grants: Map<AskId, Grant>;
	/** Start-time fair queueing between teams: the start tag of the next ask of each. */
	readonly teamTags: Map<TeamId, number>;
	virtualTime: number;
	/** Whether this host was the right steward when last judged; others may still ask it. */
	isChosen: boolean;
	/** Hosts, this one included, that have not yet reported what they hold. */
	readonly awaitedHosts: Set<HostId>;
	/** Nothing is granted before, unless all awaited hosts have reported. */
	recoverUntil: Instant;
};

/** What a peer said last of one of its queues. */
export type KnownLoad = {readonly load: ZoneLoad; readonly from: HostId; readonly validUntil: Instant};

/** The steward that was last told what this host holds of a service in a zone. */
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
	/** The latest gossip, to tell what is new. */
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
