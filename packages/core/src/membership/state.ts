/** The other entry hosts as this one hears them. */
import type {HostId, Incarnation} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';

export type Peer = {
	readonly hostId: HostId;
	isLinked: boolean;
	incarnation: Incarnation | undefined;
	/** A peer that is not heard until then counts as unreachable. */
	heardUntil: Instant;
	nextOffset: Offset;
};

export type MembershipState = {
	readonly peers: Map<HostId, Peer>;
	nextHeartbeatAt: Instant;
};

/** A state without peers. */
export function createMembershipState(): MembershipState {
	return {peers: new Map(), nextHeartbeatAt: 0 as Instant};
}
