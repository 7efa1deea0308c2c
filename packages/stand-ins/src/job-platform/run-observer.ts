/** Receives the run starts and ends of workers; tests and the soak check their assertions on them. */
export type RunObserver = {
	noteStart(workerId: string, task: string, run: number): void;
	/** The run has ended, with any outcome or because its worker's process ended. `isDone`: it completed. */
	noteEnd(workerId: string, task: string, run: number, isDone: boolean): void;
	/** A completed run is acknowledged; its worker no longer reports it. */
	noteAcknowledged(task: string): void;
};
