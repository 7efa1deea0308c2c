/** The part of a host's readiness that depends on claims. */
import type {State} from '../types/state.js';

/**
 * Whether this host votes on claims, or is ready without that: while the log is unreachable no host can join the members,
 * and after a grace period it serves the requests that need no claim.
 */
export function isClaimsReady(state: State): boolean {
	const {isVoting, readyWithoutVoteAt} = state.claims;
	return isVoting || !state.log.isReachable || (readyWithoutVoteAt !== undefined && readyWithoutVoteAt <= state.now);
}
