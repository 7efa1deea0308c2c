/** Events about targets: the platform's host list and the end of each attempt. */
import type {Fault} from '../types/faults.js';
import type {ListedHost} from '../types/hosts.js';
import type {AttemptId, HostId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

export type HostsListedEvent = {
	readonly type: 'hosts/listed';
	readonly at: Instant;
	readonly hosts: readonly ListedHost[];
};

export type HostsListFailedEvent = {
	readonly type: 'hosts/list-failed';
	readonly at: Instant;
	readonly fault: Fault;
};

/** The complete answer was forwarded to the caller. `status` is the target's HTTP status. */
export type AttemptAnsweredEvent = {
	readonly type: 'attempt/answered';
	readonly at: Instant;
	readonly attemptId: AttemptId;
	readonly status: number;
};

/**
 * An attempt ended without a complete answer.
 * `wasSent`: at least one byte left this host, so the target may have run it.
 * `wasRefused`: the target answered that it did not run the request.
 * `hasAnswerBegun`: the caller already has part of the answer, so the request cannot be retried.
 */
export type AttemptFailedEvent = {
	readonly type: 'attempt/failed';
	readonly at: Instant;
	readonly attemptId: AttemptId;
	readonly fault: Fault;
	readonly wasSent: boolean;
	readonly wasRefused: boolean;
	readonly hasAnswerBegun: boolean;
};

/** A target reported in an answer that it is leaving. */
export type TargetLeavingEvent = {readonly type: 'target/leaving'; readonly at: Instant; readonly target: HostId};

export type TargetEvent = HostsListedEvent | HostsListFailedEvent | AttemptAnsweredEvent | AttemptFailedEvent | TargetLeavingEvent;
