/** Counts the votes on a claim and judges them. */
import {isHostReachable} from '../membership/liveness.js';
import type {FaultKind} from '../types/faults.js';
import type {State} from '../types/state.js';
import {
	countMajority, isMember, isRankedBefore,
} from './members.js';
import type {ClaimAnswer} from './messages.js';
import type {OpenClaim} from './state.js';

/** The state of a vote. `isOutvoted`: another claim is ahead of this one for good, or goes first by rank. */
export type Tally = {
	readonly majority: number;
	readonly members: number;
	readonly granted: number;
	readonly doubtful: number;
	readonly hasRefusal: boolean;
	readonly isOutvoted: boolean;
	/** A voter has followed the members further than this host: its vote counts only when this host has caught up. */
	isBehind: boolean;
};

/** What becomes of a claim: it is held, stays open, or ends with a fault. */
export type TallyVerdict = 'held' | 'open' | FaultKind;

/** Counts the votes of those that are members by this host's fold. */
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

/** Judges a tally; `isLast` when no more votes are waited for. */
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

/** A majority for another claim counts only if its owner cannot be asked: a live owner may have given way, and says itself whether it holds the claim. */
function isOutvoted(state: State, claim: OpenClaim, votes: readonly ClaimAnswer[], majority: number): boolean {
	const holders = votes.flatMap(vote => vote.holder ? [vote.holder] : []);
	return holders.some(holder =>
		holder.isHeld
		|| isRankedFirst(state, claim, holder)
		|| (!isHostReachable(state, holder.owner) && holders.filter(other => other.claimId === holder.claimId).length >= majority));
}

/** Of claims made at the same time, that of the host which ranks first for the request id goes on; the others give way. */
function isRankedFirst(state: State, claim: OpenClaim, holder: NonNullable<ClaimAnswer['holder']>): boolean {
	const self = state.settings.self.hostId;
	return holder.owner === self
		|| (isHostReachable(state, holder.owner) && isRankedBefore(claim.request.requestId, holder.owner, self));
}
