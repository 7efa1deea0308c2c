/** The voting side: a member votes for the first claim on a request id and for no other. */
import type {ClaimId, HostId, RequestId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {isMember} from './members.js';
import type {ClaimAnswer} from './messages.js';
import {readCreationTime} from './request-id-time.js';
import {claimMemoryMs, type RememberedClaim} from './state.js';

/** Beyond this many remembered request ids a member votes for no new ones. */
const maxRememberedIds = 1_000_000;
/** By how much the clocks of callers and hosts may differ. */
export const maxClockSkewMs = 5000;
/** Deadlines further in the future are treated as this far ahead. */
const maxDeadlineMs = 48 * 60 * 60 * 1000;
const sweepBatchSize = 2000;

/** Identifies a claim. */
export type NamedClaim = {readonly requestId: RequestId; readonly claimId: ClaimId; readonly owner: HostId};

/** A claim to vote on, with the deadline of its request. */
export type AskedClaim = NamedClaim & {readonly deadline: Instant};

/** Votes on a claim; undefined if this host cannot vote on it now. */
export function answerClaimAsk(state: State, claim: AskedClaim): ClaimAnswer | undefined {
	if (!canVote(state)) {
		return undefined;
	}

	const remembered = state.claims.remembered.get(claim.requestId) ?? [];
	const own = remembered.find(known => known.claimId === claim.claimId);
	if (own?.isReleased) {
		return undefined;
	}

	const competingClaim = remembered.find(known => known.claimId !== claim.claimId && !known.isReleased);
	if (competingClaim) {
		return {...createAnswer(state, claim, 'taken'), holder: describeHolder(state, claim.requestId, competingClaim)};
	}

	// Checked before `own`: a claim copied from another member tells nothing about claims that both members have lost.
	if (isDoubtful(state, claim.requestId)) {
		return createAnswer(state, claim, 'doubtful');
	}

	if (own) {
		return createAnswer(state, claim, 'granted');
	}

	if (state.claims.remembered.size >= maxRememberedIds) {
		return undefined;
	}

	recordClaim(state, claim, getClaimExpiry(state, claim.deadline));
	return createAnswer(state, claim, 'granted');
}

/** When a claim may be forgotten: an hour and a quarter after its creation, or after its request's deadline if that is later. */
export function getClaimExpiry(state: State, deadline: Instant): Instant {
	const latest = addMilliseconds(state.now, maxDeadlineMs);
	return addMilliseconds(Math.min(Math.max(state.now, deadline), latest) as Instant, claimMemoryMs);
}

/** Remembers a claim if it is not known yet. */
export function recordClaim(state: State, {requestId, claimId, owner}: NamedClaim, expiresAt: Instant): void {
	const claims = state.claims.remembered.get(requestId);
	const remembered: RememberedClaim = {
		claimId, owner, expiresAt, isReleased: false,
	};
	if (!claims) {
		state.claims.remembered.set(requestId, [remembered]);
	} else if (!claims.some(known => known.claimId === claimId)) {
		claims.push(remembered);
	}
}

/** Marks a claim as released by its owner. It stays remembered, so that a delayed ask does not restore it. */
export function recordRelease(state: State, claim: NamedClaim): void {
	recordClaim(state, claim, addMilliseconds(state.now, claimMemoryMs));
	const remembered = state.claims.remembered.get(claim.requestId)?.find(known => known.claimId === claim.claimId);
	if (remembered?.owner === claim.owner) {
		remembered.isReleased = true;
	}
}

/** Drops expired claims; each call checks only a part of the remembered and held ones. */
export function expireClaims(state: State): void {
	const {claims, now} = state;
	claims.rememberedSweep = runSweep(claims.rememberedSweep ?? claims.remembered.entries(), ([requestId, remembered]) => {
		if (remembered.every(claim => claim.expiresAt <= now)) {
			claims.remembered.delete(requestId);
		}
	});
	claims.heldSweep = runSweep(claims.heldSweep ?? claims.held.entries(), ([requestId, held]) => {
		if (held.expiresAt <= now) {
			claims.held.delete(requestId);
		}
	});
}

/** Visits the next entries; undefined when all were visited. */
function runSweep<Entry>(iterator: MapIterator<Entry>, visit: (entry: Entry) => void): MapIterator<Entry> | undefined {
	for (let count = 0; count < sweepBatchSize; count++) {
		const next = iterator.next();
		if (next.done) {
			return undefined;
		}

		visit(next.value);
	}

	return iterator;
}

function canVote(state: State): boolean {
	return state.claims.isVoting
		&& isMember(state, {hostId: state.settings.self.hostId, incarnation: state.settings.incarnation});
}

function createAnswer(state: State, {requestId, claimId}: NamedClaim, verdict: ClaimAnswer['verdict']): ClaimAnswer {
	return {
		type: 'claim-answer',
		requestId,
		claimId,
		verdict,
		incarnation: state.settings.incarnation,
		membersOffset: state.fleet.membersOffset,
	};
}

function describeHolder(state: State, requestId: RequestId, {claimId, owner}: RememberedClaim): ClaimAnswer['holder'] {
	return {claimId, owner, isHeld: state.claims.held.get(requestId)?.claimId === claimId};
}

function isDoubtful(state: State, requestId: RequestId): boolean {
	const {doubtBefore} = state.claims;
	const createdAt = readCreationTime(requestId);
	if (createdAt === undefined || createdAt > addMilliseconds(state.now, maxClockSkewMs)) {
		return doubtBefore > 0 && state.now < addMilliseconds(doubtBefore, claimMemoryMs);
	}

	return createdAt < doubtBefore;
}
