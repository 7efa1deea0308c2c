/** Messages to other entry hosts. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {PeerMessage} from './messages.js';

/** Creates the effect that sends a message to a peer. */
export function createSend(peer: HostId, message: PeerMessage): Effect {
	return {type: 'peer/send', peer, message};
}
