/** Counts the votes on a claim and determines the result. */
import {isHostReachable} from '../membership/liveness.js';
import type {FaultKind} from '../types/faults.js';
import type {State} from '../types/state.js';
import {
	countMajority, isMember, isRankedBefore,
} from './members.js';
import type {ClaimAnswer} from './messages.js';
import type {OpenClaim} from './state.js';

/** The counted votes on a claim. `isOutvoted`: another claim has won for good, or has precedence by rank. */
export type Tally = {
	readonly majority: number;
	readonly members: number;
	readonly granted: number;
	readonly doubtful: number;
	readonly hasRefusal: boolean;
	readonly isOutvoted: boolean;
	/** A voter has applied more changes of members than this host: the claim is granted only when this host has caught up. */
	isBehind: boolean;
};

/** What becomes of a claim: it is held, stays open, or ends with a fault. */
export type TallyVerdict = 'held' | 'open' | FaultKind;

/** Counts the votes of hosts that are members by the log records that this host has applied. */
export function countVotes(state: State, claim: OpenClaim): Tally {
	const valid = [...claim.votes].filter(([hostId, vote]) => isMember(state, {hostId, incarnation: vote.incarnation}));
	const votes = valid.map(([, vote]) => vote);
	const members = state.fleet.members.size;
	const majority = countMajority(members);
	return {
		majority,
		members,
		granted: votes.filter(vote => vote.verdict === 'granted').length,
		doubtful: votes.filter(vote => vote.verdict === 'doubtful').length,
		hasRefusal: votes.some(vote => vote.verdict !== 'granted'),
		isOutvoted: isOutvoted(state, claim, votes, majority),
		isBehind: [...claim.votes.values()].some(vote => vote.membersOffset > state.fleet.membersOffset),
	};
}

/** Determines the result of a tally. `isLast`: no more votes are waited for. */
export function resolveTally(tally: Tally, isLast: true): FaultKind;
export function resolveTally(tally: Tally, isLast: boolean): TallyVerdict;
export function resolveTally(tally: Tally, isLast: boolean): TallyVerdict {
	if (!isLast && !tally.isBehind && tally.granted >= tally.majority) {
		return 'held';
	}

	if (tally.isOutvoted) {
		return 'request-in-progress';
	}

	if (tally.doubtful > tally.members - tally.majority) {
		return 'claim-forgotten';
	}

	if (isLast) {
		return tally.hasRefusal ? 'request-in-progress' : 'quorum-unreachable';
	}

	return 'open';
}

/**
 * A majority for another claim counts only if its owner is unreachable: a reachable owner may have yielded,
 * and its own vote shows whether it holds the claim.
 */
function isOutvoted(state: State, claim: OpenClaim, votes: readonly ClaimAnswer[], majority: number): boolean {
	const competingClaims = votes.flatMap(vote => vote.holder ? [vote.holder] : []);
	return competingClaims.some(competingClaim =>
		competingClaim.isHeld
		|| isRankedFirst(state, claim, competingClaim)
		|| (!isHostReachable(state, competingClaim.owner) && competingClaims.filter(other => other.claimId === competingClaim.claimId).length >= majority));
}

/** Of concurrent claims, that of the host which ranks first for the request id continues; the others yield. */
function isRankedFirst(state: State, claim: OpenClaim, competingClaim: NonNullable<ClaimAnswer['holder']>): boolean {
	const self = state.settings.self.hostId;
	return competingClaim.owner === self
		|| (isHostReachable(state, competingClaim.owner) && isRankedBefore(claim.request.requestId, competingClaim.owner, self));
}
