/** How late reads of the stand-in's store are answered, and how old the answer is then. */
export type StoreRead = {
	readonly operation: 'log-read' | 'log-newest';
	readonly topic: string;
	/** The entrance that the read came through; undefined at the store's own address. */
	readonly endpoint: string | undefined;
};

/** `beforeMs` passes before the content is fixed, `afterMs` between that and the answer: it is that old when it arrives. */
export type ReadDelay = {readonly beforeMs: number; readonly afterMs: number};

/** Reads are answered at once. */
export function delayNothing(): ReadDelay {
	return {beforeMs: 0, afterMs: 0};
}
