/** The requests that this host has accepted. */
import type {WaitingPublisher} from '../fleet/publishing.js';
import type {SlotAsk} from '../slots/messages.js';
import type {Fault} from '../types/faults.js';
import type {
	AskId, AttemptId, AvailabilityZone, CallerKey, HostId, ServiceId,
} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {Instant} from '../types/time.js';

/** An ask, which is a request for a slot, that was sent to a steward and not yet granted or refused. */
export type SentAsk = {readonly ask: SlotAsk; steward: HostId};

/** A request that is neither answered nor refused: it waits for a slot or runs. */
export type OpenRequest = {
	readonly request: CallerRequest;
	readonly asks: Map<AskId, SentAsk>;
	/** Zones asked since the last attempt. */
	readonly askedZones: Set<AvailabilityZone>;
	/** When another zone may be asked. */
	nextZoneAt: Instant;
	/** An unused slot that was granted before the request's id was claimed. */
	early: EarlyGrant | undefined;
	attemptCount: number;
	/** Targets to avoid: an attempt failed there, or they were leaving when granted. */
	readonly avoid: HostId[];
	/** The fault of an attempt that may have run, but ended without a known outcome. The request can't be refused as not run any more. */
	unknownOutcome: Fault | undefined;
};

/** A slot that this host was granted. */
export type HeldGrant = {
	readonly ask: SlotAsk;
	steward: HostId;
	readonly target: HostId;
	/** Whether this host may keep the slot after its request has ended. */
	mayKeep: boolean;
};

/** An idle slot, and until when it is kept for another request. */
export type KeptSlot = {readonly grant: HeldGrant; readonly keepUntil: Instant};

/** A slot reserved for a request without a decided claim, and until when. Then it is released, since other requests may need it. */
export type EarlyGrant = {readonly grant: HeldGrant; readonly keepUntil: Instant};

/** One attempt in progress: a request that was dispatched to a target. */
export type Attempt = {
	readonly attemptId: AttemptId;
	readonly request: CallerRequest;
	readonly target: HostId;
	readonly grant: HeldGrant;
	readonly startedAt: Instant;
};

/** Token bucket for the retries of a service: a retry takes one token, a first attempt adds a fraction of one. */
export type RetryBudget = {tokens: number};

export type RequestsState = {
	readonly open: Map<CallerKey, OpenRequest>;
	readonly callersByAsk: Map<AskId, CallerKey>;
	/** All slots granted to this host: in use, early or kept. */
	readonly grants: Map<AskId, HeldGrant>;
	readonly kept: Map<AskId, KeptSlot>;
	readonly attempts: Map<AttemptId, Attempt>;
	readonly publishers: Map<CallerKey, WaitingPublisher>;
	readonly retryBudgets: Map<ServiceId, RetryBudget>;
	/** Counts the attempts of this process; part of each attempt id. */
	attemptCount: number;
	askCount: number;
	/** Set during a graceful shutdown: when the host may exit at the earliest, and when it refuses requests that still wait. */
	shutdown: ShutdownPlan | undefined;
};

export type ShutdownPlan = {readonly exitAt: Instant; readonly refuseAt: Instant};

/** A state without requests. */
export function createRequestsState(): RequestsState {
	return {
		open: new Map(),
		callersByAsk: new Map(),
		grants: new Map(),
		kept: new Map(),
		attempts: new Map(),
		publishers: new Map(),
		retryBudgets: new Map(),
		attemptCount: 0,
		askCount: 0,
		shutdown: undefined,
	};
}
