/** Work sent to targets. */
import type {
	AttemptId, CallerKey, HostId, RequestId,
} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Sends a request to a target; answered by `attempt/answered` or `attempt/failed`. `address` is `ip:port`. */
export type AttemptDispatchEffect = {
	readonly type: 'attempt/dispatch';
	readonly attemptId: AttemptId;
	readonly requestId: RequestId;
	readonly callerKey: CallerKey;
	readonly target: HostId;
	readonly address: string;
	readonly isIdempotent: boolean;
	/** Set for a retry: an open connection may be as silent as the one before. */
	readonly needsFreshConnection?: boolean;
	/** When to give the attempt up. */
	readonly giveUpAt: Instant;
};

export type TargetEffect = AttemptDispatchEffect;
