/** Whether this host can claim request ids, as far as readiness goes. */
import type {State} from '../types/state.js';

/** Whether this host votes on claims, or need not be waited for: while the log is away nobody can join, and after a while it serves what it can. */
export function canClaim(state: State): boolean {
	const {isVoting, readyWithoutVoteAt} = state.claims;
	return isVoting || !state.log.isReachable || (readyWithoutVoteAt !== undefined && readyWithoutVoteAt <= state.now);
}
