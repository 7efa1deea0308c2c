/** The fleet as operators see it. */
import type {
	FleetState, HostId, ListedHost, Offset, Peer, State,
} from '@rhubarblever/core';
import {describeJobs, type JobView} from './jobs-view.js';
import {describeMaintenance, type MaintenanceView} from './maintenance-view.js';

/** A record kept aside. */
export type SetAsideView = {readonly offset: Offset; readonly schema: string; readonly version: number};

export type FleetView = MaintenanceView & {
	readonly hostId: HostId;
	readonly nextOffset: Offset;
	readonly digest: string;
	/** Records of schema versions that are unknown here, by their place in the log. */
	readonly setAside: readonly SetAsideView[];
	readonly pools: ReadonlyArray<FleetState['pools'] extends Map<unknown, infer Value> ? Value : never>;
	readonly services: ReadonlyArray<FleetState['services'] extends Map<unknown, infer Value> ? Value : never>;
	readonly objectives: ReadonlyArray<FleetState['objectives'] extends Map<unknown, infer Value> ? Value : never>;
	readonly jobs: readonly JobView[];
	readonly hosts: readonly ListedHost[];
	readonly peers: readonly Peer[];
};

/** A JSON view of what is in force on this entry host. */
export function describeFleet(state: State): FleetView {
	return {
		hostId: state.settings.self.hostId,
		nextOffset: state.fleet.nextOffset,
		digest: state.fleet.digest,
		setAside: state.fleet.setAside.map(({offset, record}) => ({offset, schema: record.schema, version: record.version})),
		pools: [...state.fleet.pools.values()],
		services: [...state.fleet.services.values()],
		objectives: [...state.fleet.objectives.values()],
		jobs: describeJobs(state),
		hosts: state.targets.listedHosts,
		...describeMaintenance(state),
		peers: [...state.membership.peers.values()],
	};
}
