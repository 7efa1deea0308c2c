/** Hosts as folded from the log: each belongs to exactly one pool and has at most one chain of records in progress. */
import type {
	AvailabilityZone, HostId, OperationId, PoolId, RackId, WaveId,
} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';

/** Maintenance of one host within a wave. */
export type Outage = {
	readonly kind: 'outage';
	readonly waveId: WaveId;
	readonly operationId: OperationId;
	readonly drainDeadline: Instant;
	/** Term of the planner that began it. */
	readonly term: number;
	readonly step: 'granted' | 'drained' | 'rebooted';
};

/** Transfer of one host to another pool. */
export type Move = {
	readonly kind: 'move';
	readonly to: PoolId;
	readonly operationId: OperationId;
	readonly drainDeadline: Instant;
	/** Term of the planner that began it. */
	readonly term: number;
	readonly step: 'lent' | 'drained' | 'released';
};

export type Chain = Outage | Move;

export type FleetHost = {
	readonly hostId: HostId;
	/** Offset of the `host` record in force. */
	offset: Offset;
	pool: PoolId;
	availabilityZone: AvailabilityZone;
	rack: RackId;
	isDown: boolean;
	/** The pool that an operator wants it to move to. */
	requestedPool: PoolId | undefined;
	/** Chains begun so far; makes operation ids unique. */
	chainCount: number;
	chain: Chain | undefined;
};
