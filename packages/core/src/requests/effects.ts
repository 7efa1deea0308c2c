/** Answers to callers. A whole answer of a target is passed on by the attempt itself. */
import type {Fault} from '../types/faults.js';
import type {CallerKey} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** Answers a call with a fault. `comeBackAt`: the earliest instant at which trying again makes sense. */
export type CallerRefuseEffect = {
	readonly type: 'caller/refuse';
	readonly callerKey: CallerKey;
	readonly fault: Fault;
	readonly retryAt: Instant;
};

/** From now on, answers ask callers to close their connections. */
export type CallersDrainEffect = {readonly type: 'callers/drain'};

export type RequestEffect = CallerRefuseEffect | CallersDrainEffect;
