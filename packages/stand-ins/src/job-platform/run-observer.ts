/** Hears what workers do; a test or the soak judges by it. */
export type RunObserver = {
	noteStart(workerId: string, task: string, run: number): void;
	/** The run is over, in whatever way, or its worker's process is. */
	noteEnd(workerId: string, task: string, run: number, isDone: boolean): void;
	/** A run that was done is acknowledged: its worker forgets it. */
	noteAcknowledged(task: string): void;
};
