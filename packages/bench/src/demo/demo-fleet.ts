/** The fleet that the demo runs, and the records that it publishes. */
import {listedHostSchema, type ListedHost} from '@rhubarblever/core';
import {
	createServiceRecord, type ClassShape, type FleetShape, type PublishableRecord,
} from '@rhubarblever/stand-ins';

export const availabilityZones = ['ee-south-a', 'ee-south-b', 'ee-south-c'];
export const services = ['route-checks', 'replans'];
export const guardedPool = 'roster-workers';
const sparePool = 'administration';
const workersPerZone = 2;

/** Workers of the guarded pool: two in each zone, each in a rack of its own. */
export const workers: readonly ListedHost[] = availabilityZones.flatMap(availabilityZone =>
	Array.from({length: workersPerZone}, (_, index) => listedHostSchema.parse({
		hostId: `worker-${availabilityZone}-${index + 1}`,
		role: 'worker',
		availabilityZone,
		rack: `rack-${availabilityZone}-${index + 1}`,
		address: '127.0.0.1:9',
		pool: guardedPool,
		state: 'live',
		cores: 64,
		memoryBytes: 256 * (1024 ** 3),
	})));

export const demoShape: FleetShape = {
	availabilityZones,
	services,
	entryHostsPerZone: 2,
	targetsPerZone: 1,
	targetsPerProcess: 6,
	hosts: workers,
	platformFlags: ['--faults', JSON.stringify({rebootMs: 500})],
	environment: {RHUBARBLEVER_LOG_LEVEL: 'error'},
};

/** Quick route checks and heavy replans. */
export const demoClasses: readonly ClassShape[] = [
	{
		workClass: 'quick', share: 0.75, meanRunMs: 20, deadlineMs: 2000, isIdempotent: true,
	},
	{
		workClass: 'heavy', share: 0.25, meanRunMs: 150, deadlineMs: 8000, isIdempotent: false,
	},
];

/** The records published first: pools in two versions of one schema, services, and the hosts of the guarded pool. */
export const firstRecords: readonly PublishableRecord[] = [
	{
		recordId: 'demo-pool-spare', schema: 'pool', version: 1, body: {pool: sparePool, minimumHealthyHosts: 0},
	},
	{
		recordId: 'demo-pool-guarded',
		schema: 'pool',
		version: 2,
		body: {pool: guardedPool, budget: {minimumHealthyHosts: 3, maximumHostsOut: 2, maximumHostsOutPerZone: 1}},
	},
	...services.map(service => (createServiceRecord(service, {recordId: `demo-service-${service}`, pool: guardedPool}))),
	...workers.map(worker => ({
		recordId: `demo-host-${worker.hostId}`,
		schema: 'host',
		version: 1,
		body: {
			hostId: worker.hostId, pool: guardedPool, availabilityZone: worker.availabilityZone, rack: worker.rack,
		},
	})),
];

export const minimumAfterChange = 4;

/** Changes the guarded pool: one more host must stay healthy. */
export const changeRecord: PublishableRecord = {
	recordId: 'demo-pool-guarded-2',
	schema: 'pool',
	version: 2,
	body: {pool: guardedPool, budget: {minimumHealthyHosts: minimumAfterChange, maximumHostsOut: 2, maximumHostsOutPerZone: 1}},
};

/** A wave that reboots every host of the guarded pool; `finishBy` is its deadline. */
export function createWaveRecord(finishBy: number): PublishableRecord {
	return {
		recordId: 'demo-wave',
		schema: 'wave',
		version: 1,
		body: {
			waveId: 'demo-wave', pool: guardedPool, finishBy, drainLimitMs: 5000, weights: {rollOutTime: 1, bufferCost: 1},
		},
	};
}
