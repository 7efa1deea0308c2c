/** Requests of callers to services. */
import type {
	CallerKey, RequestId, ServiceId, TeamId,
} from './ids.js';
import type {Instant} from './time.js';

/** Examples. `quick`: route checks, overlays; `heavy`: replans; `long`: roster rebuilds, archive jobs. */
export const workClasses = ['quick', 'heavy', 'long'] as const;
export type WorkClass = typeof workClasses[number];

/** A request without its body; the daemon stores the body under `callerKey`. */
export type CallerRequest = {
	readonly callerKey: CallerKey;
	readonly requestId: RequestId;
	readonly service: ServiceId;
	readonly team: TeamId;
	readonly workClass: WorkClass;
	readonly isIdempotent: boolean;
	readonly arrivedAt: Instant;
	readonly deadline: Instant;
};
