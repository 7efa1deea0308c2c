/** The scheduler host's API for the platform package. */
export type * from './ports.js';
export {SchedulerHost, type SchedulerHostOptions} from './scheduler-host.js';
export {
	JobApi, type Overload, type SubmitOutcome, type CancelOutcome, type PhaseOutcome,
} from './job-api.js';
export {
	computeKeyDigest, KeyCheck, type KeyOutcome, type KeySettings,
} from './key-check.js';
export {DecisionLog} from './decision-log.js';
export {createMetrics, type SchedulerMetrics} from './metrics.js';
export {UnexpectedErrors} from './unexpected-errors.js';
export {readSteadyClock, readWallClock} from './clocks.js';
