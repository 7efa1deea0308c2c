/** What the planner asks of the platform. Both are answered by `operation/reported` or `operation/call-failed`. */
import type {HostId, OperationId, PoolId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {OperationKind} from './workers.js';

/** Starts an operation on a worker; idempotent by its id. */
export type OperationStartEffect = {
	readonly type: 'operation/start';
	readonly operationId: OperationId;
	readonly hostId: HostId;
	readonly kind: OperationKind;
	/** The pool to join, of `set-pool` only. */
	readonly pool: PoolId | undefined;
	/** By the platform's clock. */
	readonly deadline: Instant;
};

/** Reads how an operation stands. */
export type OperationReadEffect = {
	readonly type: 'operation/read';
	readonly operationId: OperationId;
};

export type PlannerEffect = OperationStartEffect | OperationReadEffect;
