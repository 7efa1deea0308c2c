/** The fleet as folded from the log: equal on every host that has applied the same offset. */
import type {PlannerLeaseBody} from '../planner/bodies.js';
import type {FleetHost} from '../pools/state.js';
import type {Wave} from '../waves/state.js';
import type {
	HostId, PoolId, RecordId, ServiceId, WaveId,
} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {Offset} from '../types/time.js';
import type {ObjectiveBody} from '../burn/bodies.js';
import type {PoolBody, ServiceBody} from './bodies.js';

/** A body in force and the offset that put it there. */
export type InForce<Body> = {readonly offset: Offset; readonly body: Body};

export type FleetState = {
	/** Offset of the next record to apply. */
	nextOffset: Offset;
	readonly seenRecordIds: Set<RecordId>;
	readonly pools: Map<PoolId, InForce<PoolBody>>;
	readonly services: Map<ServiceId, InForce<ServiceBody>>;
	readonly objectives: Map<ServiceId, InForce<ObjectiveBody>>;
	readonly hosts: Map<HostId, FleetHost>;
	readonly waves: Map<WaveId, Wave>;
	/** The planner's lease of the highest term. */
	plannerLease: PlannerLeaseBody | undefined;
	/** Records whose schema version is unknown here, kept as they came. */
	readonly setAside: LoggedRecord[];
};

/** The fleet before the first record. */
export function createFleetState(): FleetState {
	return {
		nextOffset: 0 as Offset,
		seenRecordIds: new Set(),
		pools: new Map(),
		services: new Map(),
		objectives: new Map(),
		hosts: new Map(),
		waves: new Map(),
		plannerLease: undefined,
		setAside: [],
	};
}
