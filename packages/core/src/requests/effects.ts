/** Effects that answer callers. The complete answer of a target is not among them: the attempt itself forwards it. */
import type {Fault} from '../types/faults.js';
import type {CallerKey} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Answers a call with a fault. `retryAt`: the earliest instant at which the caller should retry. */
export type CallerRefuseEffect = {
	readonly type: 'caller/refuse';
	readonly callerKey: CallerKey;
	readonly fault: Fault;
	readonly retryAt: Instant;
};

/** Starts to drain callers' connections: from now on, answers ask callers to close them. */
export type CallersDrainEffect = {readonly type: 'callers/drain'};

export type RequestEffect = CallerRefuseEffect | CallersDrainEffect;
