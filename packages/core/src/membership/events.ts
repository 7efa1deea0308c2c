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

export type MembershipEvent = PeerLinkedEvent | PeerUnlinkedEvent | PeerMessageEvent;
