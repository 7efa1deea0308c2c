/** Requests that this host has taken on. */
import type {WaitingPublisher} from '../fleet/publishing.js';
import type {SlotAsk} from '../slots/messages.js';
import type {Fault} from '../types/faults.js';
import type {
	AskId, AttemptId, AvailabilityZone, CallerKey, HostId, ServiceId,
} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {Instant} from '../types/time.js';

/** An ask that was sent to a steward and not yet granted. */
export type SentAsk = {readonly ask: SlotAsk; steward: HostId};

/** A request that is neither answered nor refused: it waits for a slot or runs. */
export type OpenRequest = {
	readonly request: CallerRequest;
	readonly asks: Map<AskId, SentAsk>;
	/** Zones asked since the last attempt. */
	readonly askedZones: Set<AvailabilityZone>;
	/** When a second zone may be asked. */
	nextZoneAt: Instant;
	/** A slot that was granted before the request's id was claimed; not used yet. */
	early: EarlyGrant | undefined;
	attemptCount: number;
	/** Targets that failed it. */
	readonly avoid: HostId[];
	/** Why it may have run, once an attempt ended without a sure outcome: it can't be refused truly any more. */
	unknownOutcome: Fault | undefined;
};

/** A slot that this host was granted. */
export type HeldGrant = {
	readonly ask: SlotAsk;
	steward: HostId;
	readonly target: HostId;
	/** It may be used again after its request has ended. */
	mayKeep: boolean;
};

/** A slot without a request, and until when it is kept. */
export type KeptSlot = {readonly grant: HeldGrant; readonly keepUntil: Instant};

/** A slot that waits for a claim, and until when: other requests may want it. */
export type EarlyGrant = {readonly grant: HeldGrant; readonly keepUntil: Instant};

/** One dispatch that has not ended. */
export type Attempt = {
	readonly attemptId: AttemptId;
	readonly request: CallerRequest;
	readonly target: HostId;
	readonly grant: HeldGrant;
	readonly startedAt: Instant;
};

/** What a service may still spend on retries; a first attempt earns a part of one. */
export type RetryBudget = {tokens: number};

export type RequestsState = {
	readonly open: Map<CallerKey, OpenRequest>;
	readonly callersByAsk: Map<AskId, CallerKey>;
	/** All slots held: in use, early or kept. */
	readonly grants: Map<AskId, HeldGrant>;
	readonly kept: Map<AskId, KeptSlot>;
	readonly attempts: Map<AttemptId, Attempt>;
	readonly publishers: Map<CallerKey, WaitingPublisher>;
	readonly retryBudgets: Map<ServiceId, RetryBudget>;
	/** Counts the attempts of this process; part of each attempt id. */
	attemptCount: number;
	askCount: number;
	/** When a stopping host may exit at the earliest, and when it refuses what still waits. */
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
