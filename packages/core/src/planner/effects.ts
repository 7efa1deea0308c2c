/** Calls of the planner to the platform. Both are answered by an `operation/reported` or `operation/call-failed` event. */
import type {HostId, OperationId, PoolId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {OperationKind} from './workers.js';

/** Starts an operation on a worker; idempotent by its id. */
export type OperationStartEffect = {
	readonly type: 'operation/start';
	readonly operationId: OperationId;
	readonly hostId: HostId;
	readonly kind: OperationKind;
	/** The pool to join; set for `set-pool` only. */
	readonly pool: PoolId | undefined;
	/** By the platform's clock. */
	readonly deadline: Instant;
};

/** Reads the state of an operation. */
export type OperationReadEffect = {
	readonly type: 'operation/read';
	readonly operationId: OperationId;
};

export type PlannerEffect = OperationStartEffect | OperationReadEffect;
