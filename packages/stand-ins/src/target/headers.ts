/** HTTP headers between the daemon and targets. */

/** Id of an attempt; the answer must repeat it. */
export const attemptHeader = 'rhubarblever-attempt-id';
/** `true` on an answer that refuses a request: the request was not run. */
export const notRunHeader = 'rhubarblever-not-run';
/** `true` on every answer of a target that is leaving the fleet. */
export const leavingHeader = 'rhubarblever-leaving';
