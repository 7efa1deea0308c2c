/** What the daemon tells of targets: the platform's host list and the course of each attempt. */
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

/** The whole answer was passed on to the caller. `status` is the target's HTTP status. */
export type AttemptAnsweredEvent = {
	readonly type: 'attempt/answered';
	readonly at: Instant;
	readonly attemptId: AttemptId;
	readonly status: number;
};

/**
 * An attempt ended without a whole answer.
 * `wasSent`: at least one byte left this host, so the target may have run it.
 * `wasRefused`: the target said that it did not run it.
 * `hasAnswerBegun`: the caller already has part of the answer, so it cannot be tried again.
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

/** A target's own answer said that it is leaving. */
export type TargetLeavingEvent = {readonly type: 'target/leaving'; readonly at: Instant; readonly target: HostId};

export type TargetEvent = HostsListedEvent | HostsListFailedEvent | AttemptAnsweredEvent | AttemptFailedEvent | TargetLeavingEvent;
