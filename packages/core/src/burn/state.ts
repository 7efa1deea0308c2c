/** This host's answers per service: counts by minute and latencies by hour. */
import type {Histogram} from 'hdr-histogram-js';
import type {FaultKind} from '../types/faults.js';
import type {CallerKey, ServiceId} from '../types/ids.js';
import type {CallerRequest} from '../types/requests.js';
import type {Instant} from '../types/time.js';

/** Why an answer counts against the error budget: a fault, an error status of the target, or too high a latency. */
export type BadCause = FaultKind | 'target-error' | 'too-slow';

/** Counts of the answers of one minute. */
export type BurnBucket = {
	readonly startsAt: Instant;
	good: number;
	bad: number;
	readonly badByCause: Map<BadCause, number>;
};

/** Latencies of one hour, in milliseconds. */
export type LatencyBucket = {readonly startsAt: Instant; readonly histogram: Histogram};

export type BurnAlarm = 'none' | 'slow' | 'fast';

export type ServiceBurn = {
	readonly buckets: BurnBucket[];
	readonly latencies: LatencyBucket[];
	alarm: BurnAlarm;
};

export type BurnState = {
	readonly services: Map<ServiceId, ServiceBurn>;
	/** Requests that arrived and are not yet answered. */
	readonly open: Map<CallerKey, CallerRequest>;
	/** Instant of the first event of this process; answers before it are not counted here. */
	since: Instant | undefined;
	nextCheckAt: Instant;
	nextGaugesAt: Instant;
};

/** The burn state before the first answer. */
export function createBurnState(): BurnState {
	return {
		services: new Map(), open: new Map(), since: undefined, nextCheckAt: 0 as Instant, nextGaugesAt: 0 as Instant,
	};
}
