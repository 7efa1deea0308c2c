/** The fleet state, built by applying the log: equal on all hosts that have applied it up to the same offset. */
import type {Member} from '../claims/members.js';
import type {PlannerLeaseBody} from '../planner/bodies.js';
import type {FleetHost} from '../pools/state.js';
import type {Wave} from '../waves/state.js';
import type {
	HostId, PoolId, RecordId, ServiceId, WaveId,
} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {ObjectiveBody} from '../burn/bodies.js';
import type {Instant, Offset} from '../types/time.js';
import {createJobsState, type JobsState} from '../jobs/state.js';
import type {PoolBody, ServiceBody} from './bodies.js';
import {emptyDigest, type OffsetDigest} from './digest.js';

/** A record body that is in force and the offset of its record. */
export type InForce<Body> = {readonly offset: Offset; readonly body: Body};

/** Where a record id was first seen. `at` is the fleet state's clock at that offset. */
export type SeenRecord = {readonly offset: Offset; readonly at: Instant};

/** Holds plain data, maps and sets only, because `state-codec.ts` encodes every field for snapshots. */
export type FleetState = {
	/** Offset of the next record to apply. */
	nextOffset: Offset;
	/** The platform's clock as seen in the applied records: the latest instant of any of them, so it never runs backwards. */
	clock: Instant;
	/** Hash chain over all records applied before `nextOffset`. */
	digest: string;
	/** Digests at recent offsets, oldest first; bounded in number. */
	readonly recentDigests: OffsetDigest[];
	/** Record ids in log order, each kept for well over the log's retention. */
	readonly seenRecordIds: Map<RecordId, SeenRecord>;
	readonly pools: Map<PoolId, InForce<PoolBody>>;
	readonly services: Map<ServiceId, InForce<ServiceBody>>;
	readonly objectives: Map<ServiceId, InForce<ObjectiveBody>>;
	/** Entry hosts that vote on claims, each with the one incarnation that votes. */
	readonly members: Map<HostId, Member>;
	/** The offset after the latest record that changed `members`. */
	membersOffset: Offset;
	readonly hosts: Map<HostId, FleetHost>;
	readonly waves: Map<WaveId, Wave>;
	readonly jobs: JobsState;
	/** The planner lease with the highest term so far. */
	plannerLease: PlannerLeaseBody | undefined;
	/** The latest records whose schema or version this build cannot decode, kept unchanged and not applied; bounded in number. */
	readonly setAside: LoggedRecord[];
};

/** The fleet state before the first record. */
export function createFleetState(): FleetState {
	return {
		nextOffset: 0 as Offset,
		clock: 0 as Instant,
		digest: emptyDigest,
		recentDigests: [{offset: 0 as Offset, digest: emptyDigest}],
		seenRecordIds: new Map(),
		pools: new Map(),
		services: new Map(),
		objectives: new Map(),
		members: new Map(),
		membersOffset: 0 as Offset,
		hosts: new Map(),
		waves: new Map(),
		jobs: createJobsState(),
		plannerLease: undefined,
		setAside: [],
	};
}
