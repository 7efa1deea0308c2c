/** Timeouts and intervals of the scheduler. */

/** Lease of a worker: how long it keeps its runs without hearing from a leader. Longer than a change of the leader takes. */
export const workerLeaseMs = 3500;
/** Below this remaining time a poll that renews the lease is not put off any longer. */
export const leaseRenewalThresholdMs = 2200;
/** Workers' clocks may run slow by up to this share. */
export const maxClockDrift = 0.02;
/** Safety margin added to a computed lease expiry. */
export const leaseSlackMs = 100;
/**
 * No lease ends later than this after the sending of the latest append that the store has confirmed to its leader. A long-running
 * task may be without a run for 9 s: a successor waits this long, and needs the rest to read, place, store and start.
 */
export const leaseHorizonMs = 7500;
/** A leader sends no starts when the store has confirmed none of its appends for this long: a full lease ends within the horizon. */
export const unconfirmedLimitMs = leaseHorizonMs - workerLeaseMs;
/** The wall clock gains this much on the monotonic clock between two events only if it was set or the host was suspended. */
export const suspicionMs = 500;
/** A worker's clock is read again after this time: the older the reading, the less is known of a slow clock. */
export const clockRefreshMs = 120_000;
/** No lease ends later than this after it was granted, however slow the worker's clock has been since it was read. */
export const longestGrantMs = (workerLeaseMs + (clockRefreshMs * maxClockDrift)) / (1 - maxClockDrift);
/** Without new ledger records for this long, there is no leader. */
export const leaderSilenceMs = 1000;
/** Interval at which a leader without changes appends a heartbeat record to the ledger. */
export const leaderHeartbeatMs = 400;
/** The limit that applies instead of `leaderSilenceMs` as long as no record has followed a full read of the ledger: all hosts may have been down. */
export const leaderSilenceAtStartMs = 600;
/** Range of the random jitter that spreads the claims of several hosts. */
export const claimJitterMs = 250;
/** Delay before a host with no spare processor time or network bandwidth claims leadership; others get it proportionally. */
export const shortfallClaimDelayMs = 500;
/** After a weak leader has handed over, hosts that are not stronger leave claims to others for this much longer. */
export const handoverClaimDelayMs = 600;
/** How long a leader that is not stronger than one that handed over keeps the lead in any case. */
export const handoverPauseMs = 30_000;
export const claimRetryMs = 500;
/** A leader sends no machine orders when the store has confirmed none of its appends for this long. */
export const unconfirmedOrderMs = 1000;
/** Minimum time between two appends to the ledger, so that changes are batched. */
export const commitPauseMs = 10;
export const commitRetryMs = 60;
/** How long a poll waits at the worker for a run to end (long polling). */
export const pollWaitMs = 800;
/** The same for a worker with long-running tasks, whose measurements must be read more often. */
export const longRunningPollWaitMs = 500;
/** Time that the answer to a poll may take in addition to its long-poll time. */
export const pollSlackMs = 500;
/** The same after an unanswered poll: the worker may only be slow. */
export const retriedPollSlackMs = 1500;
/** A call to a worker near by that is answered within this time did not wait at this host. */
export const promptAnswerMs = 100;
/** A start whose answer was lost is stopped if the worker has not reported the run after this time. */
export const startReportMs = 600;
export const pollRetryMs = 150;
export const stopRetryMs = 300;
/** How long a worker stays listed after a reload of the registry lacked it. */
export const registryGraceMs = 3000;
/** How long after its sending an unanswered start may still be carried out. */
export const lateStartMs = 15_000;
/** Failures at a worker count against it for this long. */
export const failureWindowMs = 10_000;
/** Length of the first quarantine; doubles with each further one. */
export const quarantineMs = 3000;
/** A running task without progress for this long is stuck. */
export const stuckMs = 1500;
/** A run begun longer ago than this is hardly to blame for the loss of its worker. */
export const trialMs = 500;
/** A run that its worker has outlived by no more than this is plainly to blame if no other had begun lately. */
export const plainBlameMs = 300;
/** An instant that is never reached. */
export const never = Number.POSITIVE_INFINITY;
