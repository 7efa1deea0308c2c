/** The evidence of a run and the verdicts on it. */
import type {HostLedger, PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import type {Journal} from './journal.js';
import type {FleetAnswer} from './operator.js';

/** Whether one promise was kept, with figures and the first cases that broke it. */
export type Verdict = {
	readonly promise: string;
	readonly isKept: boolean;
	readonly figures: string;
	readonly cases: readonly string[];
};

/** All that is known at the end of a run. */
export type Evidence = {
	readonly journal: Journal;
	readonly calmTailMs: number;
	readonly targetLedgers: readonly HostLedger[];
	readonly platformLedger: readonly PlatformLedgerEntry[];
	/** When the log recorded that a host was released by its old pool, by the operation id of its move. From then on its drain does not count against that pool. */
	readonly releasedAt: ReadonlyMap<string, number>;
	/** The fleet state of every entry host after the calm tail; undefined if it did not answer. */
	readonly states: ReadonlyArray<{readonly hostId: string; readonly state: FleetAnswer | undefined}>;
	readonly samples: number;
	readonly offsetRegressions: readonly string[];
	readonly digestMismatches: readonly string[];
	/** How long after healing every accepted change was in force on all hosts; undefined if it was not within the bound. */
	readonly inForceAfterMs: number | undefined;
};

const maxCasesShown = 8;

/** Creates a verdict; the promise is kept if there are no cases against it. */
export function createVerdict(promise: string, figures: string, cases: readonly string[]): Verdict {
	return {
		promise, figures: `${figures}; against it: ${cases.length}`, isKept: cases.length === 0, cases: cases.slice(0, maxCasesShown),
	};
}
