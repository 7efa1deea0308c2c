/** The targets this host may send work to. */
import type {ListedHost} from '../types/hosts.js';
import type {HostId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** The state of a target as known to this host. */
export type Target = {
	listed: ListedHost;
	/** Number of this host's attempts in progress. */
	outstanding: number;
	/** Failures since the last answer. */
	failures: number;
	/** Quarantines since the last answer. */
	quarantineCount: number;
	/** When it was last quarantined after failures. */
	quarantinedAt: Instant;
	/** It gets no work before this instant: it is quarantined or busy. */
	quarantinedUntil: Instant;
	/** Quarantined after failures and without an answer since: one attempt at a time. */
	isOnProbation: boolean;
	/** Sequence number of the last grant, counted over all targets. */
	lastGrant: number;
};

export type TargetsState = {
	readonly targets: Map<HostId, Target>;
	/** When each leaving target was first reported as leaving, including targets not listed here. */
	readonly leaving: Map<HostId, Instant>;
	/** All hosts of the latest list, also workers and entry hosts. */
	listedHosts: readonly ListedHost[];
};

/** A state without targets. */
export function createTargetsState(): TargetsState {
	return {targets: new Map(), leaving: new Map(), listedHosts: []};
}

/** Creates the state of a newly listed target. */
export function createTarget(listed: ListedHost): Target {
	return {
		listed,
		outstanding: 0,
		failures: 0,
		quarantineCount: 0,
		quarantinedAt: 0 as Instant,
		quarantinedUntil: 0 as Instant,
		isOnProbation: false,
		lastGrant: 0,
	};
}
