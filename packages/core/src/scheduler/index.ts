/** Public interface of the scheduler for other packages. */
export type * from './types.js';
export type * from './effects.js';
export type * from './events.js';
export {
	createSchedulerState, type SchedulerState, type SchedulerSettings, type Job, type LearningUse,
} from './state.js';
export type {Calibration} from './run-time-keys.js';
export {reduceScheduler} from './reduce.js';
export {computeWorkerToken} from './incarnations.js';
export {describeError} from './logging.js';
export {convertToRanges, listOccurrences} from './occurrence-ranges.js';
export {findAccount, findQueue} from './queues.js';
export {describeQuotaExcess} from './quotas.js';
export {listAccountShares, type AccountStatus} from './shares.js';
export {getShownPhase, isFinal} from './phases.js';
export {
	findFirstSend, firstSendKeptMs, maxRefusedJobs, noteFirstSend, type FirstSends,
} from './first-sends.js';
export {judgeAdmission, type AdmissionVerdict, type AdmittedOutcome} from './admission.js';
export {doesShareRefusals, findWait} from './load-view.js';
export {computeOutageRetryS} from './retry-after.js';
export {getNextLeadershipCheck} from './leadership.js';
export {ReducerLoop, type Reducer} from '../engine/reducer-loop.js';
