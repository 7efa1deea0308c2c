/** Effects that send work to targets. */
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
	/** Set for a retry: another open connection may be as unresponsive as that of the attempt before. */
	readonly needsFreshConnection?: boolean;
	/** When the attempt times out. */
	readonly giveUpAt: Instant;
};

export type TargetEffect = AttemptDispatchEffect;
