/** Released claims: each member stops counting them, and confirms the release. */
import {createSend} from '../membership/send.js';
import type {Effect} from '../types/effects.js';
import type {ClaimId, HostId, RequestId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {recordRelease} from './votes.js';

const releaseAgainMs = 500;
const releaseTimeoutMs = 60_000;

/** Sends the release of a claim to all members; ticks repeat it until each has confirmed. */
export function sendReleases(state: State, requestId: RequestId, claimId: ClaimId): Effect[] {
	const self = state.settings.self.hostId;
	recordRelease(state, {requestId, claimId, owner: self});
	const others = [...state.fleet.members.keys()].filter(hostId => hostId !== self);
	state.claims.releases.set(claimId, {
		requestId,
		claimId,
		unconfirmed: new Set(others),
		giveUpAt: addMilliseconds(state.now, releaseTimeoutMs),
		sendAgainAt: addMilliseconds(state.now, releaseAgainMs),
	});
	return others.map(peer => createRelease(peer, requestId, claimId));
}

function createRelease(peer: HostId, requestId: RequestId, claimId: ClaimId): Effect {
	return createSend(peer, {type: 'claim-release', requestId, claimId});
}

/** Repeats unconfirmed releases until their timeout. */
export function tickReleases(state: State): Effect[] {
	const effects: Effect[] = [];
	for (const release of state.claims.releases.values()) {
		if (release.giveUpAt <= state.now || release.unconfirmed.size === 0) {
			state.claims.releases.delete(release.claimId);
		} else if (release.sendAgainAt <= state.now) {
			release.sendAgainAt = addMilliseconds(state.now, releaseAgainMs);
			effects.push(...[...release.unconfirmed].map(peer => createRelease(peer, release.requestId, release.claimId)));
		}
	}

	return effects;
}
