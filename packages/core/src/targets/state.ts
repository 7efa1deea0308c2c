/** The targets this host may send work to. */
import type {ListedHost} from '../types/hosts.js';
import type {HostId} from '../types/ids.js';

/** A target as this host sees it. */
export type Target = {
	listed: ListedHost;
	/** Attempts of this host that have not ended. */
	outstanding: number;
};

export type TargetsState = {
	readonly targets: Map<HostId, Target>;
	/** All hosts of the latest list, also workers and entry hosts. */
	listedHosts: readonly ListedHost[];
};

/** A state without targets. */
export function createTargetsState(): TargetsState {
	return {targets: new Map(), listedHosts: []};
}
