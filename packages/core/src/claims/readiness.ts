/** The part of a host's readiness that depends on claims. */
import type {State} from '../types/state.js';

/**
 * Whether claims no longer keep this host from being ready. That does not mean that it can vote or claim: while the log is
 * unreachable no host can join the members, and after a grace period the host serves the requests that need no claim.
 */
export function isClaimsReady(state: State): boolean {
	const {isVoting, readyWithoutVoteAt} = state.claims;
	return isVoting || !state.log.isReachable || (readyWithoutVoteAt !== undefined && readyWithoutVoteAt <= state.now);
}
