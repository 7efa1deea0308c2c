/** The answer of GET /v1/fleet: the state of the fleet for operators. */
import type {
	FleetState, HostId, ListedHost, Offset, Peer, State,
} from '@rhubarblever/core';
import {describeJobs, type JobView} from './jobs-view.js';
import {describeMaintenance, type MaintenanceView} from './maintenance-view.js';

/** A record that this entry host could not apply because it does not know the schema version. */
export type SetAsideView = {readonly offset: Offset; readonly schema: string; readonly version: number};

export type FleetView = MaintenanceView & {
	readonly hostId: HostId;
	readonly nextOffset: Offset;
	readonly digest: string;
	/** Records whose schema version is unknown to this entry host, in log order. */
	readonly setAside: readonly SetAsideView[];
	readonly pools: ReadonlyArray<FleetState['pools'] extends Map<unknown, infer Value> ? Value : never>;
	readonly services: ReadonlyArray<FleetState['services'] extends Map<unknown, infer Value> ? Value : never>;
	readonly objectives: ReadonlyArray<FleetState['objectives'] extends Map<unknown, infer Value> ? Value : never>;
	readonly jobs: readonly JobView[];
	readonly hosts: readonly ListedHost[];
	readonly peers: readonly Peer[];
};

/** Describes the fleet state that this entry host has applied from the log. */
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
