/** Effects of the membership domain: links to other entry hosts and messages to them. */
import type {HostId} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {PeerMessage} from './messages.js';

/** Sends a message to a peer; it is dropped if the peer is not linked. */
export type PeerSendEffect = {
	readonly type: 'peer/send';
	readonly peer: HostId;
	readonly message: PeerMessage;
};

/** Opens and closes links so that there are links to exactly these entry hosts. */
export type PeerLinksEffect = {
	readonly type: 'peer/keep-links';
	readonly peers: readonly EntryHost[];
};

export type MembershipEffect = PeerSendEffect | PeerLinksEffect;
