/** The answer of GET /v1/entry-hosts: the entry hosts that this one knows, itself first. */
import type {EntryHost, State} from '@rhubarblever/core';

export type EntryHostsView = {readonly entryHosts: readonly EntryHost[]};

/** Merges the entry hosts of the settings and of the platform's host list; for a host in both, the list's entry is used. */
export function describeEntryHosts(state: State): EntryHostsView {
	const known = new Map<string, EntryHost>();
	for (const host of [state.settings.self, ...state.settings.peers]) {
		known.set(host.hostId, host);
	}

	for (const {hostId, availabilityZone, address, role} of state.targets.listedHosts) {
		if (role === 'entry') {
			known.set(hostId, {hostId, availabilityZone, address});
		}
	}

	return {entryHosts: [...known.values()]};
}
