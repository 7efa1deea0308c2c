/**
 * The claiming side: the id of a non-idempotent request is claimed before dispatch, and a majority of the members must vote for the claim.
 */
import {isHostReachable} from '../membership/liveness.js';
import {createSend} from '../membership/send.js';
import {startClaimedRequest} from '../requests/admission.js';
import {releaseEarlySlots} from '../requests/early-slots.js';
import {refuseRequest} from '../requests/refusals.js';
import type {Effect} from '../types/effects.js';
import type {FaultKind} from '../types/faults.js';
import type {
	ClaimId, HostId, RequestId,
} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {
	countMajority, isMember, listVoters,
} from './members.js';
import type {ClaimAnswer} from './messages.js';
import {sendReleases, tickReleases} from './releases.js';
import type {OpenClaim} from './state.js';
import {resolveTally, countVotes} from './tally.js';
import {getClaimExpiry, answerClaimAsk} from './votes.js';

/** After this time a claim is given up as soon as no majority is reachable. */
const askTimeoutMs = 1000;
/** After this time it is given up even if a majority is reachable: asks or answers are being lost. */
const maxAskMs = 5000;
const initialAskIntervalMs = 100;
const maxAskIntervalMs = 1600;

/** Claims a request's id. The request starts once a majority has voted for the claim, otherwise it is refused. */
export function claimRequest(state: State, request: CallerRequest): Effect[] {
	const {requestId} = request;
	if (state.claims.open.has(requestId) || state.claims.held.has(requestId)) {
		return refuseUnclaimed(state, request, 'request-in-progress', 'this entry host has taken on a request of this id');
	}

	const voters = listReachableVoters(state, requestId);
	if (voters.length < countMajority(state.fleet.members.size)) {
		return refuseUnclaimed(state, request, 'quorum-unreachable', `${voters.length} of ${state.fleet.members.size} entry hosts can be asked`);
	}

	const claim = openClaim(state, request);
	const asks = requestVotes(state, claim, chooseFirstVoters(state, voters));
	return [...asks, ...resolveClaim(state, claim)];
}

/** Releases a claim whose request has definitely not run, so that a repeat may run. */
export function releaseClaim(state: State, {requestId, callerKey}: CallerRequest): Effect[] {
	const open = state.claims.open.get(requestId);
	if (open?.request.callerKey === callerKey) {
		state.claims.open.delete(requestId);
		return sendReleases(state, requestId, open.claimId);
	}

	const held = state.claims.held.get(requestId);
	if (held?.callerKey !== callerKey) {
		return [];
	}

	state.claims.held.delete(requestId);
	return sendReleases(state, requestId, held.claimId);
}

/** Whether members are still voting on the claim of this call, not of a repeat with the same request id. */
export function isClaimPending(state: State, {requestId, callerKey}: CallerRequest): boolean {
	return state.claims.open.get(requestId)?.request.callerKey === callerKey;
}

/** Invariant: a dispatched request is idempotent, or its id is claimed for this call. */
export function checkClaimed(state: State, request: CallerRequest): Effect[] {
	return request.isIdempotent || state.claims.held.get(request.requestId)?.callerKey === request.callerKey
		? []
		: [{type: 'invariant/violated', name: 'dispatch-has-claim', detail: request.requestId}];
}

/** Records a member's vote. */
export function acceptVote(state: State, peer: HostId, answer: ClaimAnswer): Effect[] {
	const claim = state.claims.open.get(answer.requestId);
	if (claim?.claimId !== answer.claimId) {
		return [];
	}

	claim.votes.set(peer, answer);
	return resolveClaim(state, claim);
}

/** Repeats asks, closes claims that have timed out, and repeats releases until they are confirmed. */
export function tickOwnClaims(state: State): Effect[] {
	const asks = [...state.claims.open.values()].flatMap(claim => tickOpenClaim(state, claim));
	return [...asks, ...tickReleases(state)];
}

function tickOpenClaim(state: State, claim: OpenClaim): Effect[] {
	if (isTimedOut(state, claim)) {
		return closeClaim(state, claim, resolveTally(countVotes(state, claim), true));
	}

	const effects = resolveClaim(state, claim);
	if (effects.length > 0 || claim.askAgainAt > state.now) {
		return effects;
	}

	scheduleNextAsk(state, claim);
	const missing = listVoters(state, claim.request.requestId).filter(hostId => !hasGranted(state, claim, hostId));
	const asks = requestVotes(state, claim, missing);
	return [...asks, ...resolveClaim(state, claim)];
}

/** A claim waits for late votes while a majority is reachable, since busy members are no reason to refuse. */
function isTimedOut(state: State, {request, minAskUntil, giveUpAt}: OpenClaim): boolean {
	const isMajorityReachable = () => listReachableVoters(state, request.requestId).length >= countMajority(state.fleet.members.size);
	return state.now >= giveUpAt || (state.now >= minAskUntil && !isMajorityReachable());
}

/** Exponential backoff between the rounds of asks, so that they don't add to the load that delays the votes. */
function scheduleNextAsk(state: State, claim: OpenClaim): void {
	const intervalMs = Math.min(maxAskIntervalMs, initialAskIntervalMs * (2 ** claim.askRounds));
	claim.askRounds += 1;
	claim.askAgainAt = addMilliseconds(state.now, intervalMs);
}

function hasGranted(state: State, claim: OpenClaim, hostId: HostId): boolean {
	const vote = claim.votes.get(hostId);
	return vote?.verdict === 'granted' && isMember(state, {hostId, incarnation: vote.incarnation});
}

function openClaim(state: State, request: CallerRequest): OpenClaim {
	state.claims.claimCount += 1;
	const claim: OpenClaim = {
		claimId: `${state.settings.incarnation}-${state.claims.claimCount}` as ClaimId,
		request,
		minAskUntil: addMilliseconds(state.now, askTimeoutMs),
		giveUpAt: Math.min(request.deadline, addMilliseconds(state.now, maxAskMs)) as Instant,
		askAgainAt: state.now,
		askRounds: 0,
		votes: new Map(),
		asked: new Set(),
	};
	scheduleNextAsk(state, claim);
	state.claims.open.set(request.requestId, claim);
	return claim;
}

function resolveClaim(state: State, claim: OpenClaim): Effect[] {
	const tally = countVotes(state, claim);
	const verdict = resolveTally(tally, false);
	if (verdict === 'held') {
		return grantClaim(state, claim);
	}

	if (verdict !== 'open') {
		return closeClaim(state, claim, verdict);
	}

	if (!tally.hasRefusal) {
		return [];
	}

	const unasked = listVoters(state, claim.request.requestId).filter(hostId => !claim.asked.has(hostId));
	return unasked.length === 0 ? [] : [...requestVotes(state, claim, unasked), ...resolveClaim(state, claim)];
}

function grantClaim(state: State, claim: OpenClaim): Effect[] {
	const {request, claimId} = claim;
	state.claims.open.delete(request.requestId);
	state.claims.held.set(request.requestId, {
		claimId, callerKey: request.callerKey, expiresAt: getClaimExpiry(state, request.deadline),
	});
	return startClaimedRequest(state, request);
}

function closeClaim(state: State, {request}: OpenClaim, kind: FaultKind): Effect[] {
	return [
		...releaseClaim(state, request),
		...refuseUnclaimed(state, request, kind, 'the claim on this request id did not get a majority of the entry hosts'),
	];
}

function requestVotes(state: State, claim: OpenClaim, voters: readonly HostId[]): Effect[] {
	const {claimId, request: {requestId, deadline}} = claim;
	const self = state.settings.self.hostId;
	const effects: Effect[] = [];
	for (const hostId of voters) {
		claim.asked.add(hostId);
		if (hostId === self) {
			const vote = answerClaimAsk(state, {
				requestId, claimId, deadline, owner: self,
			});
			if (vote) {
				claim.votes.set(self, vote);
			}
		} else {
			effects.push(createSend(hostId, {
				type: 'claim-ask', requestId, claimId, deadline,
			}));
		}
	}

	return effects;
}

/** Members that can be asked now, in the order of asking. */
function listReachableVoters(state: State, requestId: RequestId): HostId[] {
	const {self} = state.settings;
	const isVoter = state.claims.isVoting && isMember(state, {hostId: self.hostId, incarnation: state.settings.incarnation});
	return listVoters(state, requestId).filter(hostId => hostId === self.hostId ? isVoter : isHostReachable(state, hostId));
}

/** Chooses a majority: this host first, since its own vote takes no message, then the others in the order of asking. */
function chooseFirstVoters(state: State, voters: readonly HostId[]): HostId[] {
	const self = state.settings.self.hostId;
	const ordered = voters.includes(self) ? [self, ...voters.filter(hostId => hostId !== self)] : voters;
	return ordered.slice(0, countMajority(state.fleet.members.size));
}

function refuseUnclaimed(state: State, request: CallerRequest, kind: FaultKind, detail: string): Effect[] {
	const open = state.requests.open.get(request.callerKey);
	return open ? [...releaseEarlySlots(state, open), ...refuseRequest(state, open, kind, detail)] : [];
}
