/** Claims on ids of non-idempotent requests: those that this host holds, and those it has voted for as a member. */
import type {
	CallerKey, ClaimId, HostId, Incarnation, RequestId,
} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {Instant, Offset} from '../types/time.js';
import type {ClaimAnswer, ClaimNoteMessage} from './messages.js';

/** How long a claim is remembered after its creation, or after its request's deadline: a repeat within this time never runs. */
export const claimMemoryMs = 75 * 60 * 1000;

/** A claim that this host has voted for or has copied from another member. */
export type RememberedClaim = {
	readonly claimId: ClaimId;
	readonly owner: HostId;
	readonly expiresAt: Instant;
	/** Its owner has released it. It is kept so that a delayed ask does not restore it. */
	isReleased: boolean;
};

/** A claim of this host that waits for votes. */
export type OpenClaim = {
	readonly claimId: ClaimId;
	readonly request: CallerRequest;
	/** From then on it is given up if no majority is reachable. */
	readonly minAskUntil: Instant;
	/** When it is given up in any case. */
	readonly giveUpAt: Instant;
	readonly votes: Map<HostId, ClaimAnswer>;
	readonly asked: Set<HostId>;
	askAgainAt: Instant;
	askRounds: number;
};

/** A claim of this host that has got a majority of the votes: the request may have been dispatched. */
export type HeldClaim = {
	readonly claimId: ClaimId;
	readonly callerKey: CallerKey;
	readonly expiresAt: Instant;
};

/** The release of a claim, until all members have confirmed it. */
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
	/** How often the copy was started again from the first page. */
	round: number;
	nextPage: number;
	isDone: boolean;
	askAgainAt: Instant;
};

/** A copy of this host's claims that is sent page by page to a member that has joined. */
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
	/** Where the next tick continues the sweep for expired entries. */
	rememberedSweep: MapIterator<[RequestId, RememberedClaim[]]> | undefined;
	heldSweep: MapIterator<[RequestId, HeldClaim]> | undefined;
	/** Whether this host votes as a member: it has copied enough of the claims that former members remember. */
	isVoting: boolean;
	hasAskedToJoin: boolean;
	/** From then on this host is ready without a vote: it serves idempotent requests. */
	readyWithoutVoteAt: Instant | undefined;
	/** Request ids created before then may have run although no claim is remembered here; 0 if there is no such doubt. */
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
