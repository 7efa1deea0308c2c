/** The targets this host may send work to. */
import type {ListedHost} from '../types/hosts.js';
import type {HostId} from '../types/ids.js';
import type {Instant} from '../types/time.js';

/** A target as this host sees it. */
export type Target = {
	listed: ListedHost;
	/** Attempts of this host that have not ended. */
	outstanding: number;
	/** Failures since the last answer. */
	failures: number;
	/** Times it was set aside since the last answer. */
	quarantineCount: number;
	/** When it was last set aside. */
	quarantinedAt: Instant;
	/** It gets no work before. */
	quarantinedUntil: Instant;
	/** Set aside after failures and not yet proven: one attempt at a time. */
	isOnProbation: boolean;
	/** Number of the last grant, counted over all targets. */
	lastGrant: number;
};

export type TargetsState = {
	readonly targets: Map<HostId, Target>;
	/** When each leaving target was first said to be leaving; also ones not listed here. */
	readonly leaving: Map<HostId, Instant>;
	/** All hosts of the latest list, also workers and entry hosts. */
	listedHosts: readonly ListedHost[];
};

/** A state without targets. */
export function createTargetsState(): TargetsState {
	return {targets: new Map(), leaving: new Map(), listedHosts: []};
}

/** A target as the host list names it, that has done no work yet. */
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
