/** Types of the local fleet: its configuration, entry hosts and targets. */
import type {ListedHost} from '@rhubarblever/core';
import type {RunningProcess} from './process-group.js';

export type FleetShape = {
	readonly availabilityZones: readonly string[];
	readonly entryHostsPerZone: number;
	/** Targets of each service in each availability zone. */
	readonly targetsPerZone: number;
	readonly services: readonly string[];
	/** Total targets of each service, distributed over the zones round-robin; overrides `targetsPerZone`. */
	readonly targetsPerService?: number;
	/** Routes all calls of entry hosts to the platform, to targets and to each other through fault proxies. */
	readonly isProxied?: boolean;
	/** Routes only the calls between entry hosts through proxies, to count their bytes. */
	readonly isPeerTrafficCounted?: boolean;
	/** How many targets one process serves; 1 by default. */
	readonly targetsPerProcess?: number;
	/** Additional settings of every entry host, as environment variables; they override the harness's own. */
	readonly environment?: NodeJS.ProcessEnv;
	/** Flags of every target process, such as `--when-full queue`. */
	readonly targetFlags?: readonly string[];
	/** Flags of the platform process. */
	readonly platformFlags?: readonly string[];
	/** Further hosts on the platform's host list besides the targets and entry hosts, such as workers. */
	readonly hosts?: readonly ListedHost[];
};

export type PlannedEntryHost = {
	readonly hostId: string;
	readonly availabilityZone: string;
	readonly address: string;
};

export type LocalEntryHost = PlannedEntryHost & {running: RunningProcess};

export type LocalTarget = {
	readonly host: ListedHost;
	readonly running: RunningProcess;
	/** Address (`ip:port`) of the process's control server, which serves ledgers and takes faults; shared by all targets of a process. */
	readonly controlAddress: string;
};
