/** Builds the state of an entry host for a fleet of a chosen size by applying log records. */
import {
	availabilityZoneSchema, createState, hostIdSchema, incarnationSchema, instantSchema, loggedRecordSchema, offsetSchema, reduce,
	type LoggedRecord, type State,
} from '@rhubarblever/core';

/** How large the fleet is. */
export type FleetSize = {
	readonly pools: number;
	readonly workers: number;
	readonly jobs: number;
	readonly changes: number;
};

const zones = ['zone-1', 'zone-2', 'zone-3', 'zone-4', 'zone-5', 'zone-6', 'zone-7'];
const workersPerRack = 4;
const startAt = 1_000_000;

/** Builds the records of a fleet of this size, in log order. */
export function buildRecords(size: FleetSize): LoggedRecord[] {
	const records: LoggedRecord[] = [];
	const add = (schema: string, version: number, body: unknown) => {
		records.push(loggedRecordSchema.parse({
			offset: records.length,
			at: startAt + records.length,
			record: {
				recordId: `record-${records.length}`, schema, version, body,
			},
		}));
	};

	for (let index = 0; index < size.pools; index++) {
		add('pool', 1, {pool: `pool-${index}`, minimumHealthyHosts: 1});
	}

	for (let index = 0; index < size.workers; index++) {
		add('host', 1, {
			hostId: `worker-${index}`,
			pool: `pool-${index % size.pools}`,
			availabilityZone: zones[index % zones.length],
			rack: `rack-${Math.floor(index / workersPerRack)}`,
		});
	}

	for (let index = 0; index < size.jobs; index++) {
		add('job', 1, {
			jobId: `job-${index}`,
			pool: `pool-${index % size.pools}`,
			team: `team-${index % 45}`,
			jobClass: 'normal',
			cores: 4,
			memoryBytes: 8_000_000_000,
			declaredRunMs: 60_000,
			allowedRuns: 1,
		});
	}

	for (let index = 0; index < size.changes; index++) {
		add('pool', 1, {pool: `pool-${index % size.pools}`, minimumHealthyHosts: 1 + (index % 2)});
	}

	return records;
}

/** Creates the state of an entry host that has applied no records. */
export function createMeasuredHost(): State {
	return createState({
		self: {
			hostId: hostIdSchema.parse('entry-1'),
			availabilityZone: availabilityZoneSchema.parse('zone-1'),
			address: '127.0.0.1:1',
		},
		incarnation: incarnationSchema.parse('entry-1-life-1'),
		peers: [],
		routingPolicy: 'steward',
		seed: 1,
	});
}

/** Applies records to the state in pages, as when the host reads the log. */
export function applyRecords(state: State, records: readonly LoggedRecord[]): void {
	const pageSize = 500;
	for (let start = 0; start < records.length; start += pageSize) {
		reduce(state, {
			type: 'log/read',
			at: instantSchema.parse(startAt + start),
			records: records.slice(start, start + pageSize),
			firstOffset: offsetSchema.parse(0),
			nextOffset: offsetSchema.parse(records.length),
		});
	}
}
