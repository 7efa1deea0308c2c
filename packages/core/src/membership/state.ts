/** What this entry host knows of the other ones. */
import type {HostId, Incarnation} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {Instant, Offset} from '../types/time.js';

export type Peer = {
	readonly hostId: HostId;
	isLinked: boolean;
	incarnation: Incarnation | undefined;
	/** Undefined until its hello has arrived. */
	protocolVersion: number | undefined;
	/** Until when the peer counts as live if no further heartbeat arrives. */
	heardUntil: Instant;
	/** Until when it counts as live since this process stood still meanwhile; no later heartbeat is needed until then. */
	keptUntil: Instant;
	/** When it sent its latest heartbeat, by its own clock. */
	latestSentAt: Instant | undefined;
	nextOffset: Offset;
	/** The smallest delay between sending and arrival of its heartbeats, including the difference between the clocks. Unit: milliseconds. */
	leastDelayMs: number | undefined;
	/** Since when its heartbeats have been late. */
	lateSince: Instant | undefined;
	/** Its history was found to differ from this host's. */
	hasOtherHistory: boolean;
	/** When the last heartbeat to it was sent. */
	heartbeatSentAt: Instant;
	/** The position that the last full heartbeat to the peer reported, and when that was sent. */
	told: string | undefined;
	toldAt: Instant;
	/** When slot gossip (slots/gossip.ts) was last sent to the peer. */
	gossipSentAt: Instant;
};

/** An entry host that a peer named in its reply, or that sent a hello itself. */
export type DiscoveredHost = {readonly host: EntryHost; readonly discoveredAt: Instant};

export type MembershipState = {
	readonly peers: Map<HostId, Peer>;
	nextHeartbeatAt: Instant;
	/** The entry hosts that this host keeps links to. */
	linkedHosts: readonly EntryHost[];
	/** Entry hosts learnt from peers, each with when it was last named. */
	readonly discoveredHosts: Map<HostId, DiscoveredHost>;
	/** Ids of entry hosts that have ever been on the platform's host list. */
	readonly previouslyListed: Set<HostId>;
	/** When the last host list arrived, from the platform or a peer. */
	hostsListedAt: Instant | undefined;
	nextHostsRequestAt: Instant;
	/** Number of messages dropped because they were malformed or of an unknown type. */
	unknownMessageCount: number;
};

/** Creates a state without peers. */
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
