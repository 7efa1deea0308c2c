/** Derives the polling times of a stream and the allowed staleness of its view from the time within which every host must know its records. */

export type FollowTimes = {
	/** Long-poll time: how long a read waits for a record. */
	readonly waitMs: number;
	/** Pause between two reads on a host that is not the leader. */
	readonly pauseMs: number;
	/** Up to this staleness, a record that is missing from the view does not exist. */
	readonly maxStalenessMs: number;
	/** Beyond this staleness, the host reports itself not ready so that callers use other hosts. */
	readonly maxReadyStalenessMs: number;
};

/** `batched`: records are collected between reads; a caller who asks for more is answered after a read of its own. `prompt`: each record is read at once. */
export type FollowMode = 'batched' | 'prompt';

/** Shares of the bound. Two long polls, two slow responses of the store and one pause together must stay below `stalenessShare`. */
const shares: Readonly<Record<FollowMode, {readonly wait: number; readonly pause: number}>> = {
	batched: {wait: 0.1, pause: 0.35},
	prompt: {wait: 0.25, pause: 0},
};
/** The remaining sixth is for the response to reach the caller from a busy host over a slow link. */
const stalenessShare = 5 / 6;
/** Share of the time bound of a revocation up to which the view of the accounts may be stale; the rest is for the response, as above. */
export const revokeShare = stalenessShare;
/** A host that briefly exceeds `maxStalenessMs` stays ready: it can still report the jobs that it knows and accept new ones. */
const readyStalenessShare = 1.5;

/** `boundMs`: how long after its acknowledgement a record may still be unknown to a host. */
export function computeFollowTimes(boundMs: number, mode: FollowMode): FollowTimes {
	const {wait, pause} = shares[mode];
	return {
		waitMs: Math.round(boundMs * wait), pauseMs: boundMs * pause, maxStalenessMs: boundMs * stalenessShare, maxReadyStalenessMs: boundMs * readyStalenessShare,
	};
}
