/** Events of the links to other entry hosts, which the daemon raises. */
import type {HostId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {PeerMessage} from './messages.js';

export type PeerLinkedEvent = {readonly type: 'peer/linked'; readonly at: Instant; readonly peer: HostId};
export type PeerUnlinkedEvent = {readonly type: 'peer/unlinked'; readonly at: Instant; readonly peer: HostId};
export type PeerMessageEvent = {
	readonly type: 'peer/message';
	readonly at: Instant;
	readonly peer: HostId;
	readonly message: PeerMessage;
};

/** A peer sent a malformed message, or one of a type that this version does not know. */
export type PeerMessageUnknownEvent = {readonly type: 'peer/message-unknown'; readonly at: Instant; readonly peer: HostId};

/** This process did not run from `stoppedAt` until `at`; what its peers sent meanwhile may not have been read yet. */
export type ProcessResumedEvent = {readonly type: 'process/resumed'; readonly at: Instant; readonly stoppedAt: Instant};

export type MembershipEvent = ProcessResumedEvent | PeerLinkedEvent | PeerUnlinkedEvent | PeerMessageEvent | PeerMessageUnknownEvent;
