/** What the daemon tells of its links to other entry hosts. */
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

/** A message of a type that this version does not know, or malformed. */
export type PeerMessageUnknownEvent = {readonly type: 'peer/message-unknown'; readonly at: Instant; readonly peer: HostId};

export type MembershipEvent = PeerLinkedEvent | PeerUnlinkedEvent | PeerMessageEvent | PeerMessageUnknownEvent;
