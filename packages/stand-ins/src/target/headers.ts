/** Headers between the daemon and targets. */

/** Names an attempt; its answer must echo it. */
export const attemptHeader = 'rhubarblever-attempt-id';
/** `true` on a refusal: the request was not run. */
export const notRunHeader = 'rhubarblever-not-run';
/** `true` on the answers of a target that is leaving. */
export const leavingHeader = 'rhubarblever-leaving';
