/** The table of all kinds of faults. */
import type {LocalFleet} from '@rhubarblever/stand-ins';
import type {Journal} from './journal.js';
import type {LinkFaults} from './link-faults.js';
import type {SchedulableFault, PlannedFault} from './schedule.js';
import {createEntryHostFaults} from './entry-host-faults.js';
import {linkFaultKinds} from './link-fault-kinds.js';
import {platformFaults} from './platform-faults.js';
import {targetFaults} from './target-faults.js';
import {workerFaults} from './worker-faults.js';

/** What the faults need in order to act on the fleet and to record what they did. */
export type FaultContext = {
	readonly fleet: LocalFleet;
	readonly links: LinkFaults;
	readonly journal: Journal;
};

/** Ends a fault. */
export type EndFault = () => Promise<void>;

export type FaultKind = SchedulableFault & {
	/** Starts the fault; call the returned function to end it. */
	readonly start: (context: FaultContext, fault: PlannedFault) => Promise<EndFault>;
};

export type FaultTable = Readonly<Record<string, FaultKind>>;

/** Creates all kinds of faults for a fleet with this number of entry hosts per zone. */
export function createFaultTable(entryHostsPerZone: number): FaultTable {
	return {
		...createEntryHostFaults(entryHostsPerZone), ...linkFaultKinds, ...platformFaults, ...targetFaults, ...workerFaults,
	};
}
