/** What a caller asks of a service. */
import type {
	CallerKey, RequestId, ServiceId, TeamId,
} from './ids.js';
import type {Instant} from './time.js';

/** Quick: route checks, overlays; heavy: replans; long: roster rebuilds, archive jobs. */
export const workClasses = ['quick', 'heavy', 'long'] as const;
export type WorkClass = typeof workClasses[number];

/** A request without its body, which the daemon keeps under `callerKey`. */
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
