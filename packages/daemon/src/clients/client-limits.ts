/** The limits on what one client may send, and their values while operators have published none. */
import type {ClientLimits} from '@rhubarblever/core/scheduler';

export const defaultClientLimits: ClientLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/**
 * How many requests in a row a client may send before it has taken the answer before them; its connection closes after
 * the answer to the last one. A client that sends one request at a time never comes near.
 */
export const defaultMaxRequestsAhead = 100;

/** Time limit of a whole request body, in milliseconds; longer than any caller waits for its answer. */
export const defaultBodyTimeoutMs = 30_000;
