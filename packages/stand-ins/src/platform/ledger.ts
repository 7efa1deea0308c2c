/** Log of all events on the platform, in order and without the lag of reports. Tests check guarantees of the system against it. */
export type PlatformEvent
	= | 'drain-started' | 'drained' | 'drain-failed' | 'undrained'
		| 'reboot-started' | 'rebooted' | 'reboot-failed'
		| 'pool-set' | 'set-pool-failed'
		| 'worker-added' | 'worker-failed' | 'worker-healed'
		| 'task-started' | 'task-refused' | 'task-succeeded' | 'task-failed' | 'task-stopped' | 'task-lapsed'
		| 'task-throttled' | 'task-checkpointed'
		| 'task-cut' | 'task-lost' | 'task-out-of-memory';

/** An event of the ledger. `task-cut`: a reboot ended a running task. `task-lost`: its worker failed. `at` is in milliseconds since the epoch. */
export type PlatformLedgerEntry = {
	readonly at: number;
	readonly event: PlatformEvent;
	readonly hostId: string;
	readonly pool: string | undefined;
	readonly operationId?: string;
	readonly taskId?: string;
	readonly attempt?: number;
};

export class PlatformLedger {
	static create(): PlatformLedger {
		return new PlatformLedger();
	}

	readonly entries: PlatformLedgerEntry[] = [];

	private constructor() {}

	note(entry: Omit<PlatformLedgerEntry, 'at'>): void {
		this.entries.push({at: Date.now(), ...entry});
	}
}
