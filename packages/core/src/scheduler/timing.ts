/** Times of the scheduler. */

/** How long a worker goes on without hearing from a leader; longer than a takeover takes. */
export const workerLeaseMs = 3500;
/** A lease is renewed when less than this is left. */
export const leaseRenewalThresholdMs = 2200;
/** Workers' clocks may run slow by this share. */
export const maxClockDrift = 0.02;
/** Slack on top of a computed end of a lease. */
export const leaseSlackMs = 100;
/** A leader that the store has not confirmed for this long stops renewing leases. */
export const unconfirmedLimitMs = 6000;
/** A ledger without records for this long has no leader. */
export const leaderSilenceMs = 1000;
/** A leader without changes writes a sign of life this often. */
export const leaderHeartbeatMs = 250;
/** The same just after the ledger was read as a whole: all hosts may have been away. */
export const leaderSilenceAtStartMs = 600;
/** Claims of several hosts are spread over this time. */
export const claimSpreadMs = 250;
/** A host without processor or link to spare leaves a claim to others for this long. */
export const shortfallClaimDelayMs = 500;
export const claimRetryMs = 500;
/** A leader that the store has not confirmed for this long orders no machine. */
export const unconfirmedOrderMs = 1000;
/** Least time between two appends to the ledger, so that changes share one. */
export const commitPauseMs = 10;
export const commitRetryMs = 60;
/** How long a look at a worker waits for an end. */
export const pollWaitMs = 800;
/** The same where serving tasks are watched. */
export const servingPollWaitMs = 500;
export const pollRetryMs = 150;
export const stopRetryMs = 300;
/** A worker that the registry lost, when it was read anew, may come back to it for this long. */
export const registryGraceMs = 3000;
/** A start without an answer may be carried out this much later. */
export const lateStartMs = 15_000;
/** Evidence against a worker is kept for this long. */
export const failureWindowMs = 10_000;
export const quarantineMs = 3000;
/** A running task whose progress stands still for this long is stuck. */
export const stuckMs = 1500;
/** Sign that settling is still open. */
export const never = Number.POSITIVE_INFINITY;
