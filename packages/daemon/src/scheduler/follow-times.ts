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

/** Two long polls, two slow responses of the store and one pause together must stay below `stalenessShare` of the bound. */
const waitShare = 1 / 6;
const pauseShare = 0.1;
/** The remaining sixth is for the response to reach the caller from a busy host over a slow link. */
const stalenessShare = 5 / 6;
/** A host that briefly exceeds `maxStalenessMs` stays ready: it can still report the jobs that it knows and accept new ones. */
const readyStalenessShare = 1.5;

/** `boundMs`: how long after its acknowledgement a record may still be unknown to a host. */
export function computeFollowTimes(boundMs: number): FollowTimes {
	return {
		waitMs: Math.round(boundMs * waitShare), pauseMs: boundMs * pauseShare, maxStalenessMs: boundMs * stalenessShare, maxReadyStalenessMs: boundMs * readyStalenessShare,
	};
}
