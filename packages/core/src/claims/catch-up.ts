/**
 * A member that has joined votes only when it has copied the claims of so many former members that each majority of them includes at least one.
 * docs/decisions/at-most-once.md shows why that suffices.
 */
import {queueRecord} from '../log/appends.js';
import type {Effect} from '../types/effects.js';
import type {HostId, RecordId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {
	countOverlap, isMember, type Member, type MemberIncarnation,
} from './members.js';
import type {ClaimNoteMessage, ClaimsFetch, ClaimsPage} from './messages.js';
import type {ClaimExport, ClaimSource} from './state.js';
import {maxClockSkewMs, recordClaim} from './votes.js';

const fetchRetryMs = 300;
/** How long appending the join record is retried: longer than any outage of the platform's log. */
const joinTimeoutMs = 7 * 24 * 60 * 60 * 1000;
const claimsPerPage = 1000;
/** A host that cannot reach enough others to vote becomes ready anyway after this time. */
const voteGraceMs = 10_000;

/** Joins the members and copies their claims until this host may vote. */
export function tickCatchUp(state: State): Effect[] {
	return state.claims.isVoting ? [] : [...requestJoin(state), ...fetchClaims(state)];
}

/** Answers a member that has joined, once this host has applied the record of that join. */
export function answerClaimsFetch(state: State, peer: HostId, fetch: ClaimsFetch): Effect[] {
	if (!state.claims.isVoting || state.fleet.membersOffset <= fetch.joinedAt) {
		return [];
	}

	const page = readPage(state, peer, fetch);
	return page
		? [{
			type: 'peer/send',
			peer,
			message: {
				type: 'claims-page',
				joinedAt: fetch.joinedAt,
				round: fetch.round,
				page: page.page,
				isLast: page.isLast,
				incarnation: state.settings.incarnation,
				doubtBefore: state.claims.doubtBefore,
				notes: page.notes,
			},
		}]
		: [];
}

/** Stores a page of claims and asks for the next. */
export function acceptClaimsPage(state: State, peer: HostId, page: ClaimsPage): Effect[] {
	const self = getSelf(state);
	const source = state.claims.sources.get(peer);
	if (page.joinedAt !== self?.joinedAt || !source || !isNextPage(source, page)) {
		return [];
	}

	for (const {requestId, claimId, owner, expiresAt} of page.notes) {
		recordClaim(state, {requestId, claimId, owner}, expiresAt);
	}

	state.claims.doubtBefore = Math.max(state.claims.doubtBefore, page.doubtBefore) as Instant;
	source.nextPage += 1;
	source.isDone = page.isLast;
	source.askAgainAt = 0 as Instant;
	return fetchClaims(state);
}

function isNextPage(source: ClaimSource, page: ClaimsPage): boolean {
	return !source.isDone
		&& source.incarnation === page.incarnation
		&& source.round === page.round
		&& source.nextPage === page.page;
}

function requestJoin(state: State): Effect[] {
	if (state.claims.hasAskedToJoin || !state.log.isInitialSyncDone || state.membership.hostsListedAt === undefined) {
		return [];
	}

	state.claims.hasAskedToJoin = true;
	state.claims.readyWithoutVoteAt = addMilliseconds(state.now, voteGraceMs);
	const {settings: {self, incarnation}} = state;
	return queueRecord(state, {
		recordId: `${incarnation}-joined` as RecordId,
		schema: 'entry-host-joined',
		version: 1,
		body: {
			hostId: self.hostId, incarnation, availabilityZone: self.availabilityZone, replaces: findUnlistedMember(state),
		},
	}, addMilliseconds(state.now, joinTimeoutMs));
}

/** A member that neither the settings nor the platform's host list contain any more. */
function findUnlistedMember(state: State): HostId | undefined {
	const {settings: {self, peers}, membership} = state;
	const named = new Set([self, ...peers, ...membership.linkedHosts].map(host => host.hostId));
	return [...state.fleet.members.keys()].find(hostId => !named.has(hostId));
}

function getSelf(state: State): Member | undefined {
	const {self, incarnation} = state.settings;
	const member = state.fleet.members.get(self.hostId);
	return member?.incarnation === incarnation ? member : undefined;
}

function fetchClaims(state: State): Effect[] {
	const self = getSelf(state);
	if (!self || state.claims.isVoting) {
		return [];
	}

	const needed = self.predecessors.length === 0 ? 0 : countOverlap(self.predecessors.length);
	const remaining = self.predecessors.filter(member => isMember(state, member));
	const done = self.predecessors.filter(member => getSource(state, member).isDone);
	// The former members that remain are too few, and all of their claims are copied: waiting longer adds none.
	const canNeverReachOverlap = remaining.length < needed
		&& remaining.every(member => getSource(state, member).isDone);
	if (done.length < needed && !canNeverReachOverlap) {
		return remaining.flatMap(member => fetchFrom(state, self, member));
	}

	if (done.length < needed) {
		state.claims.doubtBefore = addMilliseconds(state.now, maxClockSkewMs);
	}

	state.claims.isVoting = true;
	state.claims.sources.clear();
	return [{
		type: 'line/write',
		level: 'info',
		event: 'voting on claims',
		fields: {knownRequestIds: state.claims.remembered.size, doubtBefore: state.claims.doubtBefore},
	}];
}

function getSource(state: State, {hostId, incarnation}: MemberIncarnation): ClaimSource {
	const known = state.claims.sources.get(hostId);
	if (known?.incarnation === incarnation) {
		return known;
	}

	const source: ClaimSource = {
		incarnation, round: 0, nextPage: 0, isDone: false, askAgainAt: 0 as Instant,
	};
	state.claims.sources.set(hostId, source);
	return source;
}

function fetchFrom(state: State, self: Member, member: MemberIncarnation): Effect[] {
	const source = getSource(state, member);
	if (source.isDone || source.askAgainAt > state.now) {
		return [];
	}

	if (source.askAgainAt > 0) {
		source.round += 1;
		source.nextPage = 0;
	}

	source.askAgainAt = addMilliseconds(state.now, fetchRetryMs);
	return [{
		type: 'peer/send',
		peer: member.hostId,
		message: {
			type: 'claims-fetch', joinedAt: self.joinedAt, round: source.round, page: source.nextPage,
		},
	}];
}

/** The page asked for: the next one, or the last one again if it was lost. */
function readPage(state: State, peer: HostId, fetch: ClaimsFetch): ClaimExport | undefined {
	const {joinedAt, round, page} = fetch;
	const known = state.claims.exports.get(peer);
	const claimExport = known?.joinedAt === joinedAt && known.round === round ? known : startExport(state, peer, fetch);
	if (page === claimExport.page + 1 && !claimExport.isLast) {
		claimExport.notes = readClaims(claimExport);
		claimExport.page = page;
	}

	return claimExport.page === page ? claimExport : undefined;
}

function startExport(state: State, peer: HostId, {joinedAt, round}: ClaimsFetch): ClaimExport {
	const claimExport: ClaimExport = {
		joinedAt, round, iterator: state.claims.remembered.entries(), page: -1, isLast: false, notes: [],
	};
	state.claims.exports.set(peer, claimExport);
	return claimExport;
}

/** Relies on the iterator of a map staying valid while entries are added and deleted. */
function readClaims(claimExport: ClaimExport): ClaimNoteMessage[] {
	const taken: ClaimNoteMessage[] = [];
	while (taken.length < claimsPerPage) {
		const next = claimExport.iterator.next();
		if (next.done) {
			claimExport.isLast = true;
			break;
		}

		const [requestId, remembered] = next.value;
		for (const {claimId, owner, expiresAt} of remembered.filter(claim => !claim.isReleased)) {
			taken.push({
				requestId, claimId, owner, expiresAt,
			});
		}
	}

	return taken;
}
