/** State of the planner on this entry host. It is not replicated, and used only while this host holds the planner lease. */
import type {Proposals} from '../log/proposals.js';
import type {HostId, OperationId, PoolId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import type {ListedWorker} from './workers.js';

/** What this host knows of an operation on the platform. */
export type KnownOperation = {
	readonly operationId: OperationId;
	/** `unknown`: a call may or may not have taken effect; the state is read before a call is repeated. */
	state: 'unknown' | 'absent' | 'running' | 'done' | 'failed';
	isInFlight: boolean;
	/** The earliest time of the next call. */
	nextCallAt: Instant;
};

export type PlannerState = {
	workers: readonly ListedWorker[];
	/** When the list of workers was received, by this host's clock. */
	workersListedAt: Instant | undefined;
	/** Lower bound of how far the platform's clock is ahead of this host's, in milliseconds. */
	logClockAheadMs: number;
	/** The pending proposal about each host. */
	readonly proposals: Proposals<HostId>;
	readonly leaseProposals: Proposals<'planner-lease'>;
	readonly operations: Map<OperationId, KnownOperation>;
	/** Outages that are being undone, by the operation id of their chain. */
	readonly returningOutages: Set<OperationId>;
	/** The last known pool of each host, to check that it changes only by a move. */
	readonly knownPools: Map<HostId, PoolId>;
	/** Offset of the next record to check. */
	auditOffset: Offset;
	nextPlanAt: Instant;
};

/** The initial, empty state. */
export function createPlannerState(): PlannerState {
	return {
		workers: [],
		workersListedAt: undefined,
		logClockAheadMs: Number.NEGATIVE_INFINITY,
		proposals: new Map(),
		leaseProposals: new Map(),
		operations: new Map(),
		returningOutages: new Set(),
		knownPools: new Map(),
		auditOffset: 0 as Offset,
		nextPlanAt: 0 as Instant,
	};
}
