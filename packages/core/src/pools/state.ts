/** Hosts in the fleet state. Each belongs to exactly one pool and has at most one chain (move or outage) in progress. */
import type {
	AvailabilityZone, HostId, OperationId, PoolId, RackId, WaveId,
} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';

/** Maintenance of one host within a wave, with its latest completed step. */
export type Outage = {
	readonly kind: 'outage';
	readonly waveId: WaveId;
	readonly operationId: OperationId;
	readonly drainDeadline: Instant;
	/** Term of the planner that began it. */
	readonly term: number;
	readonly step: 'granted' | 'drained' | 'rebooted';
};

/** Transfer of one host to another pool, with its latest completed step. */
export type Move = {
	readonly kind: 'move';
	readonly to: PoolId;
	readonly operationId: OperationId;
	readonly drainDeadline: Instant;
	/** Term of the planner that began it. */
	readonly term: number;
	/** `lent`: out of service in the old pool, not drained yet. `released`: drained, and the old pool no longer counts it as out. */
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
	/** The pool to which an operator asked to move the host. */
	requestedPool: PoolId | undefined;
	/** Number of chains begun so far; makes operation ids unique. */
	chainCount: number;
	chain: Chain | undefined;
};
