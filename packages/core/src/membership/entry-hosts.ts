/** Decides which entry hosts to keep links to: those in the settings, those on the platform's host list, and those discovered through peers. */
import type {Effect} from '../types/effects.js';
import type {ListedHost} from '../types/hosts.js';
import type {EntryHost} from '../types/peers.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {listLivePeers} from './liveness.js';

const hostsRequestIntervalMs = 1000;
/** How long a peer is kept with neither a link nor a heartbeat and no reason to link it. Also how long a discovered host is kept after it was last named or heard. */
const peerExpiryMs = 60_000;

/** Applies a host list: links new entry hosts, and unlinks those that were listed before and are not any more. */
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

/** Adds entry hosts learnt from peers, so that they are linked before the platform lists them, for example while it is unavailable. */
export function addDiscoveredHosts(state: State, hosts: readonly EntryHost[]): Effect[] {
	for (const host of hosts) {
		if (host.hostId !== state.settings.self.hostId) {
			state.membership.discoveredHosts.set(host.hostId, {host, discoveredAt: state.now});
		}
	}

	return keepLinks(state, state.targets.listedHosts);
}

/** Returns the effect that updates the links, if the set of entry hosts to link has changed. */
export function keepLinks(state: State, hosts: readonly ListedHost[]): Effect[] {
	const {membership} = state;
	const peers = listEntryHosts(state, hosts);
	if (JSON.stringify(peers) === JSON.stringify(membership.linkedHosts)) {
		return [];
	}

	membership.linkedHosts = peers;
	return [{type: 'peer/keep-links', peers}];
}

/** Requests the host list from a peer until this host has one, and removes peers that have expired. */
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

/** Lists the entry hosts to link. An address in the settings takes precedence over the listed one. */
function listEntryHosts(state: State, hosts: readonly ListedHost[]): EntryHost[] {
	const {settings, membership} = state;
	const configured = new Map(settings.peers.map(peer => [peer.hostId, peer]));
	const listed = hosts
		.filter(host => host.role === 'entry' && host.state === 'live' && host.hostId !== settings.self.hostId)
		.map<EntryHost>(({hostId, availabilityZone, address}) => configured.get(hostId) ?? {hostId, availabilityZone, address});
	const listedAddresses = new Set(listed.map(host => host.address));
	const discovered = [...membership.discoveredHosts.values()].map(({host}) => host).filter(host => !configured.has(host.hostId));
	const unlisted = [...settings.peers, ...discovered].filter(peer => !listedAddresses.has(peer.address) && !membership.previouslyListed.has(peer.hostId));
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
	const {discoveredHosts, peers} = state.membership;
	for (const [hostId, {discoveredAt}] of discoveredHosts) {
		const heardUntil = peers.get(hostId)?.heardUntil ?? 0;
		if (Math.max(discoveredAt, heardUntil) + peerExpiryMs < state.now) {
			discoveredHosts.delete(hostId);
		}
	}

	return keepLinks(state, state.targets.listedHosts);
}
