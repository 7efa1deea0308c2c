/** The other entry hosts as this one hears them. */
import type {HostId, Incarnation} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {Instant, Offset} from '../types/time.js';

export type Peer = {
	readonly hostId: HostId;
	isLinked: boolean;
	incarnation: Incarnation | undefined;
	/** Undefined until its hello has come. */
	protocolVersion: number | undefined;
	/** A peer that is not heard until then counts as unreachable. */
	heardUntil: Instant;
	/** When it sent its latest heartbeat, by its own clock. */
	latestSentAt: Instant | undefined;
	nextOffset: Offset;
	/** The least difference between arrival and sending of its heartbeats, clocks' difference included. Unit: milliseconds. */
	leastDelayMs: number | undefined;
	/** Since when its heartbeats have come late. */
	lateSince: Instant | undefined;
	/** Its history was found to differ from this host's. */
	hasOtherHistory: boolean;
	/** When the last heartbeat to it was sent. */
	heartbeatSentAt: Instant;
	/** What the last whole heartbeat to it said, and when. */
	told: string | undefined;
	toldAt: Instant;
	/** When it was last sent gossip. */
	gossipSentAt: Instant;
};

/** An entry host that a peer told of, or that said hello itself. */
export type DiscoveredHost = {readonly host: EntryHost; readonly discoveredAt: Instant};

export type MembershipState = {
	readonly peers: Map<HostId, Peer>;
	nextHeartbeatAt: Instant;
	/** The entry hosts that links are kept to. */
	linkedHosts: readonly EntryHost[];
	/** Entry hosts learnt from peers, by when they were last told of. */
	readonly discoveredHosts: Map<HostId, DiscoveredHost>;
	/** Ids of entry hosts that were on the platform's list once. */
	readonly previouslyListed: Set<HostId>;
	/** When a host list last came, from the platform or a peer. */
	hostsListedAt: Instant | undefined;
	nextHostsRequestAt: Instant;
	/** Messages of unknown types, dropped. */
	unknownMessageCount: number;
};

/** A state without peers. */
export function createMembershipState(): MembershipState {
	return {
		peers: new Map(),
		nextHeartbeatAt: 0 as Instant,
		linkedHosts: [],
		discoveredHosts: new Map(),
		previouslyListed: new Set(),
		hostsListedAt: undefined,
		nextHostsRequestAt: 0 as Instant,
		unknownMessageCount: 0,
	};
}
