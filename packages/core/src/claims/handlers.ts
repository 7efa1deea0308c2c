/** Handles the messages of other entry hosts about claims. */
import type {Effect} from '../types/effects.js';
import type {ClaimId, HostId, RequestId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';
import {acceptClaimsPage, answerClaimsFetch, tickCatchUp} from './catch-up.js';
import {acceptVote, tickOwnClaims} from './claims.js';
import type {
	ClaimAnswer, ClaimsFetch, ClaimsPage,
} from './messages.js';
import {expireClaims, answerClaimAsk, recordRelease} from './votes.js';

type Sender = {readonly hostId: HostId};
type NamedClaim = {readonly requestId: RequestId; readonly claimId: ClaimId};
type ClaimAsk = NamedClaim & {readonly deadline: Instant};

/** Handlers of claim messages by message type. */
export const claimMessageHandlers = {
	'claim-ask'(state: State, {hostId}: Sender, {requestId, claimId, deadline}: ClaimAsk): Effect[] {
		const answer = answerClaimAsk(state, {
			requestId, claimId, deadline, owner: hostId,
		});
		return answer ? [{type: 'peer/send', peer: hostId, message: answer}] : [];
	},
	'claim-answer'(state: State, {hostId}: Sender, answer: ClaimAnswer): Effect[] {
		return acceptVote(state, hostId, answer);
	},
	'claim-release'(state: State, {hostId}: Sender, {requestId, claimId}: NamedClaim): Effect[] {
		recordRelease(state, {requestId, claimId, owner: hostId});
		return [{type: 'peer/send', peer: hostId, message: {type: 'claim-released', claimId}}];
	},
	'claim-released'(state: State, {hostId}: Sender, {claimId}: {readonly claimId: ClaimId}): Effect[] {
		state.claims.releases.get(claimId)?.unconfirmed.delete(hostId);
		return [];
	},
	'claims-fetch'(state: State, {hostId}: Sender, fetch: ClaimsFetch): Effect[] {
		return answerClaimsFetch(state, hostId, fetch);
	},
	'claims-page'(state: State, {hostId}: Sender, page: ClaimsPage): Effect[] {
		return acceptClaimsPage(state, hostId, page);
	},
};

/** Runs the periodic work on claims. */
export function tickClaims(state: State): Effect[] {
	expireClaims(state);
	return [...tickCatchUp(state), ...tickOwnClaims(state)];
}
