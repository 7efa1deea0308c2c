/** The fleet of the mixed run: three availability zones, services, racks of workers, and the initial records. */
import {listedHostSchema, type ListedHost} from '@rhubarblever/core';
import {createServiceRecord, type FleetShape, type PublishableRecord} from '@rhubarblever/stand-ins';

export const zones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
export const services = ['route-checks', 'replans', 'rosters'];
export const targetsPerZone = 2;
export const guardedPool = 'guarded';
export const sparePool = 'spare';
/** Pools without hosts whose budgets several operators change concurrently. */
export const contestedPools = ['contested-1', 'contested-2'];

export const guardedBudget = {
	minimumHealthyHosts: 6, maximumHostsOut: 3, maximumHostsOutPerZone: 2, maximumHostsOutPerRack: 1,
};

/** Lagging reports, and a log whose records expire during the run. */
const platformSettings = {
	rebootMs: 1000, reportLagMs: 500, hostListLagMs: 500, retention: {maxAgeMs: 90_000},
};
const racksPerZone = 1;
const workersPerRack = 4;
const gibibyte = 1024 ** 3;

/** Workers of the guarded pool, four to a rack. */
export const workers: readonly ListedHost[] = zones.flatMap(availabilityZone =>
	Array.from({length: racksPerZone * workersPerRack}, (_, index) => listedHostSchema.parse({
		hostId: `worker-${availabilityZone}-${index + 1}`,
		role: 'worker',
		availabilityZone,
		rack: `rack-${availabilityZone}-${Math.floor(index / workersPerRack) + 1}`,
		address: '127.0.0.1:9',
		pool: guardedPool,
		state: 'live',
		cores: 32,
		memoryBytes: 128 * gibibyte,
		accelerators: 0,
	})));

export const racks = [...new Set(workers.map(worker => worker.rack as string))];

/** The shape of the whole fleet. */
export function createShape(entryHostsPerZone: number): FleetShape {
	return {
		availabilityZones: zones,
		services,
		entryHostsPerZone,
		targetsPerZone,
		targetsPerProcess: 6,
		isProxied: true,
		hosts: workers,
		platformFlags: ['--faults', JSON.stringify(platformSettings)],
		environment: {RHUBARBLEVER_LOG_LEVEL: 'warn', RHUBARBLEVER_INVARIANTS: 'fatal'},
	};
}

/** Pools in three versions of the pool schema, services, and the hosts of the guarded pool. */
export const firstRecords: readonly PublishableRecord[] = [
	{
		recordId: 'first-spare', schema: 'pool', version: 1, body: {pool: sparePool, minimumHealthyHosts: 0},
	},
	{
		recordId: 'first-guarded', schema: 'pool', version: 3, body: {pool: guardedPool, budget: guardedBudget},
	},
	...contestedPools.map(pool => createContestedRecord(`first-${pool}`, pool, 1)),
	...services.map(service => (createServiceRecord(service, {recordId: `first-${service}`, pool: guardedPool}))),
	...workers.map(({hostId, availabilityZone, rack}) => ({
		recordId: `first-${hostId}`,
		schema: 'host',
		version: 1,
		body: {
			hostId, pool: guardedPool, availabilityZone, rack,
		},
	})),
];

/** Creates a record with a new version of a contested pool. */
export function createContestedRecord(recordId: string, pool: string, value: number, basedOn?: number): PublishableRecord {
	return {
		recordId,
		schema: 'pool',
		version: 2,
		body: {pool, budget: {minimumHealthyHosts: value, maximumHostsOut: 1, maximumHostsOutPerZone: 1}},
		...(basedOn === undefined ? {} : {basedOn}),
	};
}
