/** Which entry hosts to keep links to: those of the settings and those that the platform lists. */
import type {Effect} from '../types/effects.js';
import type {ListedHost} from '../types/hosts.js';
import type {EntryHost} from '../types/peers.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {listLivePeers} from './liveness.js';

const hostsRequestIntervalMs = 1000;
/** A peer without link or word is forgotten after this long. */
const peerExpiryMs = 60_000;

/** Follows a host list: a new entry host is linked; one that was listed and is no more is unlinked. */
export function updateEntryHosts(state: State, hosts: readonly ListedHost[]): Effect[] {
	const {membership} = state;
	membership.hostsListedAt = state.now;
	for (const host of hosts) {
		if (host.role === 'entry') {
			membership.previouslyListed.add(host.hostId);
		}
	}

	return keepLinks(state, hosts);
}

/** Takes in entry hosts that are on no list here yet, as while the platform is away. */
export function addDiscoveredHosts(state: State, hosts: readonly EntryHost[]): Effect[] {
	for (const host of hosts) {
		if (host.hostId !== state.settings.self.hostId) {
			state.membership.discoveredHosts.set(host.hostId, {host, discoveredAt: state.now});
		}
	}

	return keepLinks(state, state.targets.listedHosts);
}

/** Tells the daemon which links to keep, if that has changed. */
export function keepLinks(state: State, hosts: readonly ListedHost[]): Effect[] {
	const {membership} = state;
	const peers = listEntryHosts(state, hosts);
	if (JSON.stringify(peers) === JSON.stringify(membership.linkedHosts)) {
		return [];
	}

	membership.linkedHosts = peers;
	return [{type: 'peer/keep-links', peers}];
}

/** Asks a peer for its host list while the platform has given none, and forgets peers that are gone. */
export function tickEntryHosts(state: State): Effect[] {
	const {membership} = state;
	removeExpiredPeers(state);
	const linkEffects = removeExpiredDiscoveredHosts(state);
	const peer = listLivePeers(state).find(candidate => candidate.isLinked);
	if (membership.hostsListedAt !== undefined || state.now < membership.nextHostsRequestAt || !peer) {
		return linkEffects;
	}

	membership.nextHostsRequestAt = addMilliseconds(state.now, hostsRequestIntervalMs);
	return [...linkEffects, {type: 'peer/send', peer: peer.hostId, message: {type: 'hosts/request'}}];
}

/** Addresses in the settings go before those of the list. */
function listEntryHosts(state: State, hosts: readonly ListedHost[]): EntryHost[] {
	const {settings, membership} = state;
	const named = new Map(settings.peers.map(peer => [peer.hostId, peer]));
	const listed = hosts
		.filter(host => host.role === 'entry' && host.state === 'live' && host.hostId !== settings.self.hostId)
		.map<EntryHost>(({hostId, availabilityZone, address}) => named.get(hostId) ?? {hostId, availabilityZone, address});
	const listedAddresses = new Set(listed.map(host => host.address));
	const greeted = [...membership.discoveredHosts.values()].map(({host}) => host).filter(host => !named.has(host.hostId));
	const unlisted = [...settings.peers, ...greeted].filter(peer => !listedAddresses.has(peer.address) && !membership.previouslyListed.has(peer.hostId));
	return [...listed, ...unlisted];
}

function removeExpiredPeers(state: State): void {
	const wanted = new Set(state.membership.linkedHosts.map(host => host.hostId));
	for (const [hostId, peer] of state.membership.peers) {
		if (!wanted.has(hostId) && !peer.isLinked && addMilliseconds(peer.heardUntil, peerExpiryMs) < state.now) {
			state.membership.peers.delete(hostId);
		}
	}
}

function removeExpiredDiscoveredHosts(state: State): Effect[] {
	const {discoveredHosts: greeted, peers} = state.membership;
	for (const [hostId, {discoveredAt: greetedAt}] of greeted) {
		const heardUntil = peers.get(hostId)?.heardUntil ?? 0;
		if (Math.max(greetedAt, heardUntil) + peerExpiryMs < state.now) {
			greeted.delete(hostId);
		}
	}

	return keepLinks(state, state.targets.listedHosts);
}
