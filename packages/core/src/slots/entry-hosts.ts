/** Chooses the steward, the entry host that grants the slots of a service in an availability zone, by rendezvous hashing over live hosts. */
import murmurhash from 'murmurhash';
import {isHostReachable} from '../membership/liveness.js';
import type {AvailabilityZone, HostId, ServiceId} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {State} from '../types/state.js';
import {getScopeKey} from './state.js';

/** Entry hosts that are reachable and not stopping, including this one. If this host is stopping it counts only while it has no such peer. */
export function listLiveEntryHosts(state: State): EntryHost[] {
	const {linkedHosts} = state.membership;
	const unlinked = state.settings.peers.filter(({hostId}) => !linkedHosts.some(host => host.hostId === hostId));
	const peers = [...linkedHosts, ...unlinked].filter(({hostId}) => isHostReachable(state, hostId) && !state.slots.stoppingPeers.has(hostId));
	return state.isStopping && peers.length > 0 ? peers : [state.settings.self, ...peers];
}

/** Chooses the steward among the live hosts of the zone, or among all live hosts if the zone has none. */
export function chooseSteward(state: State, service: ServiceId, availabilityZone: AvailabilityZone): HostId {
	const live = listLiveEntryHosts(state);
	const own = live.filter(host => host.availabilityZone === availabilityZone);
	const scope = getScopeKey(service, availabilityZone);
	let chosen = state.settings.self.hostId;
	let highest = -1;
	for (const {hostId} of own.length > 0 ? own : live) {
		const score = murmurhash.v3(`${scope} ${hostId}`);
		if (score > highest) {
			highest = score;
			chosen = hostId;
		}
	}

	return chosen;
}
