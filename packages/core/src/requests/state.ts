/** Requests that this host has taken on. */
import type {WaitingPublisher} from '../fleet/publishing.js';
import type {AttemptId, CallerKey, HostId} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';

/** One dispatch that has not ended. */
export type Attempt = {
	readonly attemptId: AttemptId;
	readonly request: CallerRequest;
	readonly target: HostId;
};

export type RequestsState = {
	readonly attempts: Map<AttemptId, Attempt>;
	readonly publishers: Map<CallerKey, WaitingPublisher>;
	/** Counts the attempts of this process; part of each attempt id. */
	attemptCount: number;
};

/** A state without requests. */
export function createRequestsState(): RequestsState {
	return {attempts: new Map(), publishers: new Map(), attemptCount: 0};
}
