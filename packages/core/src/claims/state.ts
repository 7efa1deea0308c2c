/** Claims on ids of non-idempotent requests: those that this host holds, and those it has voted for as a member. */
import type {
	CallerKey, ClaimId, HostId, Incarnation, RequestId,
} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {Instant, Offset} from '../types/time.js';
import type {ClaimAnswer, ClaimNoteMessage} from './messages.js';

/** How long a claim is remembered after it was made, or after its request's deadline: a repeat within this time never runs. */
export const claimMemoryMs = 75 * 60 * 1000;

/** A claim that this host has voted for or has learnt from another member. */
export type RememberedClaim = {
	readonly claimId: ClaimId;
	readonly owner: HostId;
	readonly expiresAt: Instant;
	/** The owner took it back; kept so that a late ask does not revive it. */
	isReleased: boolean;
};

/** A claim of this host that waits for votes. */
export type OpenClaim = {
	readonly claimId: ClaimId;
	readonly request: CallerRequest;
	/** From then on it needs a majority that is heard. */
	readonly minAskUntil: Instant;
	/** No vote is waited for after. */
	readonly giveUpAt: Instant;
	readonly votes: Map<HostId, ClaimAnswer>;
	readonly asked: Set<HostId>;
	askAgainAt: Instant;
	askRounds: number;
};

/** A claim of this host that has its votes: the request may have been dispatched. */
export type HeldClaim = {
	readonly claimId: ClaimId;
	readonly callerKey: CallerKey;
	readonly expiresAt: Instant;
};

/** A claim that was taken back, until all members have confirmed it. */
export type ClaimRelease = {
	readonly requestId: RequestId;
	readonly claimId: ClaimId;
	readonly unconfirmed: Set<HostId>;
	readonly giveUpAt: Instant;
	sendAgainAt: Instant;
};

/** One member from which this host copies claims after its join. */
export type ClaimSource = {
	readonly incarnation: Incarnation;
	/** Counts the starts from the first page. */
	round: number;
	nextPage: number;
	isDone: boolean;
	askAgainAt: Instant;
};

/** A copy of this host's claims on its way to a member that has joined. */
export type ClaimExport = {
	readonly joinedAt: Offset;
	readonly round: number;
	readonly iterator: MapIterator<[RequestId, RememberedClaim[]]>;
	page: number;
	isLast: boolean;
	notes: ClaimNoteMessage[];
};

export type ClaimsState = {
	readonly remembered: Map<RequestId, RememberedClaim[]>;
	readonly open: Map<RequestId, OpenClaim>;
	readonly held: Map<RequestId, HeldClaim>;
	readonly releases: Map<ClaimId, ClaimRelease>;
	readonly sources: Map<HostId, ClaimSource>;
	readonly exports: Map<HostId, ClaimExport>;
	/** Where the search for expired entries goes on. */
	rememberedSweep: MapIterator<[RequestId, RememberedClaim[]]> | undefined;
	heldSweep: MapIterator<[RequestId, HeldClaim]> | undefined;
	/** This member votes: it knows what the members before it knew. */
	isVoting: boolean;
	hasAskedToJoin: boolean;
	/** From then on this host is ready without a vote: it serves idempotent requests. */
	readyWithoutVoteAt: Instant | undefined;
	/** Request ids made before then may have run without a trace here; 0 where there is no such doubt. */
	doubtBefore: Instant;
	/** Counts the claims of this process; part of each claim id. */
	claimCount: number;
};

/** A state without claims. */
export function createClaimsState(): ClaimsState {
	return {
		remembered: new Map(),
		open: new Map(),
		held: new Map(),
		releases: new Map(),
		sources: new Map(),
		exports: new Map(),
		rememberedSweep: undefined,
		heldSweep: undefined,
		isVoting: false,
		hasAskedToJoin: false,
		readyWithoutVoteAt: undefined,
		doubtBefore: 0 as Instant,
		claimCount: 0,
	};
}
