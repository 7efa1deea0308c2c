/** The table of all kinds of faults. */
import type {LocalFleet} from '@rhubarblever/stand-ins';
import type {Journal} from './journal.js';
import type {LinkFaults} from './link-faults.js';
import type {FaultRow, PlannedFault} from './schedule.js';
import {createEntryHostFaults} from './entry-host-faults.js';
import {linkFaultKinds} from './link-fault-kinds.js';
import {platformFaults} from './platform-faults.js';
import {targetFaults} from './target-faults.js';
import {workerFaults} from './worker-faults.js';

/** What faults act on. */
export type Stage = {
	readonly fleet: LocalFleet;
	readonly links: LinkFaults;
	readonly journal: Journal;
};

/** Ends a fault. */
export type Heal = () => Promise<void>;

export type FaultKind = FaultRow & {
	/** Begins it; the result ends it. */
	readonly start: (stage: Stage, fault: PlannedFault) => Promise<Heal>;
};

export type FaultTable = Readonly<Record<string, FaultKind>>;

/** All kinds of faults for a fleet with so many entry hosts in each zone. */
export function createFaultTable(entryHostsPerZone: number): FaultTable {
	return {
		...createEntryHostFaults(entryHostsPerZone), ...linkFaultKinds, ...platformFaults, ...targetFaults, ...workerFaults,
	};
}
