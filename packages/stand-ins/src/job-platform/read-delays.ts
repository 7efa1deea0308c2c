/** Delays of reads from the test double's store. */
export type StoreRead = {
	readonly operation: 'log-read' | 'log-newest';
	readonly topic: string;
	/** The additional address that the read came through (see `openEndpoint`); undefined for the store's own address. */
	readonly endpoint: string | undefined;
};

/** `beforeMs` passes before the content is read, `afterMs` between the read and the answer: the content is that stale when it arrives. */
export type ReadDelay = {readonly beforeMs: number; readonly afterMs: number};

/** The delays of a read that is answered at once. */
export function delayNothing(): ReadDelay {
	return {beforeMs: 0, afterMs: 0};
}
