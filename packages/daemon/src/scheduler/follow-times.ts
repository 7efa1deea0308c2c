/** How often a stream is read, and how old a view of it may be, from the bound within which each host must know what is in it. */

export type FollowTimes = {
	/** How long a read waits for a record. */
	readonly waitMs: number;
	/** Pause between two reads of a host that does not lead. */
	readonly pauseMs: number;
	/** A view that is complete up to this age tells what does not exist. */
	readonly sureAgeMs: number;
};

/** A wait, a pause and a slow answer of the store together stay below `sureShare`. */
const waitShare = 1 / 3;
const pauseShare = 0.1;
/** The rest is for the answer's way to its caller, from a busy host over a thin link. */
const sureShare = 5 / 6;

/** `boundMs`: how long after its confirmation something may still be unknown to a host. */
export function computeFollowTimes(boundMs: number): FollowTimes {
	return {waitMs: Math.round(boundMs * waitShare), pauseMs: boundMs * pauseShare, sureAgeMs: boundMs * sureShare};
}
