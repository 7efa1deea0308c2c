/** What the core sends to other entry hosts. */
import type {HostId} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {PeerMessage} from './messages.js';

/** Sends a message if the peer is linked; else it is dropped. */
export type PeerSendEffect = {
	readonly type: 'peer/send';
	readonly peer: HostId;
	readonly message: PeerMessage;
};

/** Keeps links to exactly these entry hosts. */
export type PeerLinksEffect = {
	readonly type: 'peer/keep-links';
	readonly peers: readonly EntryHost[];
};

export type MembershipEffect = PeerSendEffect | PeerLinksEffect;
