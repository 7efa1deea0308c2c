/** Events of the daemon about workers and operations on them. */
import type {Fault} from '../types/faults.js';
import type {OperationId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {ListedWorker, OperationReport} from './workers.js';

/** The platform's list of workers. */
export type WorkersListedEvent = {
	readonly type: 'workers/listed';
	readonly at: Instant;
	readonly workers: readonly ListedWorker[];
};

/** The platform reported the state of an operation; `absent` if it knows none with this id. */
export type OperationReportedEvent = {
	readonly type: 'operation/reported';
	readonly at: Instant;
	readonly operationId: OperationId;
	readonly state: OperationReport['state'] | 'absent';
};

/** A call about an operation got no answer, so it may or may not have taken effect. */
export type OperationCallFailedEvent = {
	readonly type: 'operation/call-failed';
	readonly at: Instant;
	readonly operationId: OperationId;
	readonly fault: Fault;
};

export type PlannerEvent = WorkersListedEvent | OperationReportedEvent | OperationCallFailedEvent;
