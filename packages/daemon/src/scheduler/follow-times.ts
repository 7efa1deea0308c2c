/** How often a stream is read, and how old a view of it may be, from the bound within which each host must know what is in it. */

export type FollowTimes = {
	/** How long a read waits for a record. */
	readonly waitMs: number;
	/** Pause between two reads of a host that does not lead. */
	readonly pauseMs: number;
	/** A view that is complete up to this age tells what does not exist. */
	readonly maxStalenessMs: number;
	/** Beyond this age callers are better served by other hosts. */
	readonly maxReadyStalenessMs: number;
};

/** Two waits, two slow answers of the store and a pause together stay below `stalenessShare`. */
const waitShare = 1 / 6;
const pauseShare = 0.1;
/** The rest is for the answer's way to its caller, from a busy host over a slow link. */
const stalenessShare = 5 / 6;
/** A host that is not sure for a moment goes on to be asked: what it knows it tells, and it takes jobs. */
const readyStalenessShare = 1.5;

/** `boundMs`: how long after its confirmation something may still be unknown to a host. */
export function computeFollowTimes(boundMs: number): FollowTimes {
	return {
		waitMs: Math.round(boundMs * waitShare), pauseMs: boundMs * pauseShare, maxStalenessMs: boundMs * stalenessShare, maxReadyStalenessMs: boundMs * readyStalenessShare,
	};
}
