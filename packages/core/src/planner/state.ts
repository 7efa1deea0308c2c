/** The planner of this entry host: local, and of use only while it holds the lease. */
import type {Proposals} from '../log/proposals.js';
import type {HostId, OperationId, PoolId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {ListedWorker} from './workers.js';

/** What this host knows of an operation on the platform. */
export type KnownOperation = {
	readonly operationId: OperationId;
	/** `unsure`: a call may or may not have taken effect; its state is read before anything is repeated. */
	state: 'unsure' | 'absent' | 'running' | 'done' | 'failed';
	isInFlight: boolean;
	/** When to call again. */
	callAt: Instant;
};

export type PlannerState = {
	workers: readonly ListedWorker[];
	/** When the list of workers came, by this host's clock. */
	workersListedAt: Instant | undefined;
	/** How far the platform's clock is ahead of this host's, at least; in milliseconds. */
	logClockAheadMs: number;
	/** The record about each host that is on its way to the log. */
	readonly proposals: Proposals<HostId>;
	readonly leaseProposals: Proposals<'planner-lease'>;
	readonly operations: Map<OperationId, KnownOperation>;
	/** Outages that are being undone, by the operation id of their chain. */
	readonly returning: Set<OperationId>;
	/** The pool of each host as last seen, to check that it changes only by a move. */
	readonly knownPools: Map<HostId, PoolId>;
	/** Offset of the next record to check. */
	auditOffset: Offset;
	nextPlanAt: Instant;
};

/** A planner that knows nothing yet. */
export function createPlannerState(): PlannerState {
	return {
		workers: [],
		workersListedAt: undefined,
		logClockAheadMs: Number.NEGATIVE_INFINITY,
		proposals: new Map(),
		leaseProposals: new Map(),
		operations: new Map(),
		returning: new Set(),
		knownPools: new Map(),
		auditOffset: 0 as Offset,
		nextPlanAt: 0 as Instant,
	};
}
