/** Shapes of the local fleet. */
import type {ListedHost} from '@rhubarblever/core';
import type {RunningProcess} from './process-group.js';

export type FleetShape = {
	readonly availabilityZones: readonly string[];
	readonly entryHostsPerZone: number;
	/** Targets of each service in each availability zone. */
	readonly targetsPerZone: number;
	readonly services: readonly string[];
	/** Targets of each service in all, dealt out to the zones in turn; goes before `targetsPerZone`. */
	readonly targetsPerService?: number;
	/** Routes the calls of entry hosts through fault proxies. */
	readonly isProxied?: boolean;
	/** Routes only the calls between entry hosts through proxies, which count their bytes. */
	readonly isPeerTrafficCounted?: boolean;
	/** How many targets one process carries. */
	readonly targetsPerProcess?: number;
	/** Settings of every entry host beside the harness's own, as environment variables. */
	readonly environment?: NodeJS.ProcessEnv;
	/** Flags of every target process, such as `--when-full queue`. */
	readonly targetFlags?: readonly string[];
	/** Flags of the platform process. */
	readonly platformFlags?: readonly string[];
	/** Hosts on the platform's list beside the targets and entry hosts, such as workers. */
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
	/** `ip:port` for ledgers and faults, the same for all targets of one process. */
	readonly controlAddress: string;
};
