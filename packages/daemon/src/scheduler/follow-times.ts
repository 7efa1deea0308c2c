/** How often the jobs of all hosts are read, and how old a view of them may be, from the bound within which each host must know a job. */

export type FollowTimes = {
	/** How long a read waits for a record. */
	readonly waitMs: number;
	/** Pause between two reads of a host that does not lead. */
	readonly pauseMs: number;
	/** A view that is complete up to this age tells which jobs do not exist. */
	readonly sureAgeMs: number;
};

/** A wait, a pause and a slow answer of the store together stay below `sureShare`. */
const waitShare = 1 / 3;
const pauseShare = 0.1;
/** The rest is for the answer's way to its caller, from a busy host over a thin link. */
const sureShare = 5 / 6;

/** `visibleMs`: how long after its acceptance a job may still be unknown to a host. */
export function computeFollowTimes(visibleMs: number): FollowTimes {
	return {waitMs: visibleMs * waitShare, pauseMs: visibleMs * pauseShare, sureAgeMs: visibleMs * sureShare};
}
