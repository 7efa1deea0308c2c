/** A member's side: it votes for the first claim on a request id and for no other. */
import type {ClaimId, HostId, RequestId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {isMember} from './members.js';
import type {ClaimAnswer} from './messages.js';
import {readMintTime} from './mint-time.js';
import {claimMemoryMs, type ClaimNote} from './state.js';

/** Beyond this many remembered request ids a member votes for no new ones. */
const maxNotes = 1_000_000;
/** By how much the clocks of callers and hosts may differ. */
export const clockMarginMs = 5000;
/** Deadlines further ahead count as this far. */
const longestDeadlineMs = 48 * 60 * 60 * 1000;
const sweptPerTick = 2000;

/** A claim as its owner names it. */
export type NamedClaim = {readonly requestId: RequestId; readonly claimId: ClaimId; readonly owner: HostId};

/** A claim to vote on, with the deadline of its request. */
export type AskedClaim = NamedClaim & {readonly deadline: Instant};

/** Votes on a claim; undefined where this host cannot vote (now). */
export function judgeClaim(state: State, claim: AskedClaim): ClaimAnswer | undefined {
	if (!canVote(state)) {
		return undefined;
	}

	const notes = state.claims.remembered.get(claim.requestId) ?? [];
	const own = notes.find(note => note.claimId === claim.claimId);
	if (own?.isReleased) {
		return undefined;
	}

	const other = notes.find(note => note.claimId !== claim.claimId && !note.isReleased);
	if (other) {
		return {...createAnswer(state, claim, 'taken'), holder: describeHolder(state, claim.requestId, other)};
	}

	// Comes before the claim's own note: a note learnt from another member says nothing of claims that both have lost.
	if (isDoubtful(state, claim.requestId)) {
		return createAnswer(state, claim, 'doubtful');
	}

	if (own) {
		return createAnswer(state, claim, 'granted');
	}

	if (state.claims.remembered.size >= maxNotes) {
		return undefined;
	}

	noteClaim(state, claim, getClaimExpiry(state, claim.deadline));
	return createAnswer(state, claim, 'granted');
}

/** When a claim may be forgotten: an hour and a quarter after it was made, or after its request's deadline if that is later. */
export function getClaimExpiry(state: State, deadline: Instant): Instant {
	const latest = addMilliseconds(state.now, longestDeadlineMs);
	return addMilliseconds(Math.min(Math.max(state.now, deadline), latest) as Instant, claimMemoryMs);
}

/** Remembers a claim, unless it is known. */
export function noteClaim(state: State, {requestId, claimId, owner}: NamedClaim, expiresAt: Instant): void {
	const notes = state.claims.remembered.get(requestId);
	const note: ClaimNote = {
		claimId, owner, expiresAt, isReleased: false,
	};
	if (!notes) {
		state.claims.remembered.set(requestId, [note]);
	} else if (!notes.some(known => known.claimId === claimId)) {
		notes.push(note);
	}
}

/** Forgets a claim that its owner took back; a late ask for it does not revive it. */
export function releaseNote(state: State, claim: NamedClaim): void {
	noteClaim(state, claim, addMilliseconds(state.now, claimMemoryMs));
	const note = state.claims.remembered.get(claim.requestId)?.find(known => known.claimId === claim.claimId);
	if (note?.owner === claim.owner) {
		note.isReleased = true;
	}
}

/** Drops what need not be remembered any longer; looks at a part of the notes and held claims each time. */
export function expireClaims(state: State): void {
	const {claims, now} = state;
	claims.noteSweep = takeSweep(claims.noteSweep ?? claims.remembered.entries(), ([requestId, notes]) => {
		if (notes.every(note => note.expiresAt <= now)) {
			claims.remembered.delete(requestId);
		}
	});
	claims.heldSweep = takeSweep(claims.heldSweep ?? claims.held.entries(), ([requestId, held]) => {
		if (held.expiresAt <= now) {
			claims.held.delete(requestId);
		}
	});
}

/** Visits the next entries; undefined when all were visited. */
function takeSweep<Entry>(iterator: MapIterator<Entry>, visit: (entry: Entry) => void): MapIterator<Entry> | undefined {
	for (let count = 0; count < sweptPerTick; count++) {
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

function describeHolder(state: State, requestId: RequestId, {claimId, owner}: ClaimNote): ClaimAnswer['holder'] {
	return {claimId, owner, isHeld: state.claims.held.get(requestId)?.claimId === claimId};
}

function isDoubtful(state: State, requestId: RequestId): boolean {
	const {doubtBefore} = state.claims;
	const mintedAt = readMintTime(requestId);
	if (mintedAt === undefined || mintedAt > addMilliseconds(state.now, clockMarginMs)) {
		return doubtBefore > 0 && state.now < addMilliseconds(doubtBefore, claimMemoryMs);
	}

	return mintedAt < doubtBefore;
}
