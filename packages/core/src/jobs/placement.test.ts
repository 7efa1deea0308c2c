/** Scaling test of placement: the number of worker look-ups in a plan must not grow with the number of waiting jobs. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {applyRecord} from '../fleet/apply-record.js';
import {createFleetState, type FleetState} from '../fleet/state.js';
import {hostIdSchema, type HostId} from '../types/ids.js';
import {loggedRecordSchema} from '../types/records.js';
import type {Instant} from '../types/time.js';
import {planPlacements, type WorkerCapacity} from './placement.js';

const workers = Array.from({length: 40}, (_, index) => hostIdSchema.parse(`worker-${index}`));
const pools = ['trucks', 'maps', 'archive', 'spare'];

/** A map that counts look-ups. */
class CountingMap<Key, Value> extends Map<Key, Value> {
	count = 0;

	override get(key: Key): Value | undefined {
		this.count += 1;
		return super.get(key);
	}
}

function createFleet(jobs: number): FleetState {
	const fleet = createFleetState();
	const add = (schema: string, body: unknown) => {
		const logged = loggedRecordSchema.parse({
			offset: fleet.nextOffset, at: 1000, record: {
				recordId: `record-${fleet.nextOffset}`, schema, version: 1, body,
			},
		});
		expect(applyRecord(fleet, logged).verdict).toEqual('accepted');
	};

	for (const pool of pools) {
		add('pool', {pool, minimumHealthyHosts: 1});
	}

	for (const [index, hostId] of workers.entries()) {
		add('host', {
			hostId, pool: pools[index % pools.length], availabilityZone: 'zone-a', rack: 'rack-1',
		});
	}

	for (let index = 0; index < jobs; index++) {
		add('job', {
			jobId: `job-${index}`, pool: pools[index % pools.length], team: `team-${index % 5}`, jobClass: 'normal', cores: 2, memoryBytes: 1000, declaredRunMs: 1000, allowedRuns: 1,
		});
	}

	return fleet;
}

function createCapacity(worker: HostId): WorkerCapacity {
	return {
		worker, cores: 8, memoryBytes: 100_000, accelerators: 0, usedCores: 0, usedMemoryBytes: 0,
	};
}

/** Plans this many jobs; returns the number of host look-ups and of placed jobs. */
function countLookUps(jobs: number): {readonly lookUps: number; readonly placed: number} {
	const fleet = createFleet(jobs);
	const hosts = new CountingMap(fleet.hosts);
	hosts.count = 0;
	const plan = planPlacements({...fleet, hosts}, workers.map(worker => createCapacity(worker)), {observedMemory: new Map(), urgentOnlyWorkers: new Set()}, 1000 as Instant);
	return {lookUps: hosts.count, placed: plan.placements.length};
}

describe('a placement plan', () => {
	it('needs as many worker look-ups for a thousand waiting jobs as for a hundred', () => {
		const few = countLookUps(100);
		const many = countLookUps(1000);
		expect([few.placed, many.placed]).toEqual([100, 144]);
		expect(many.lookUps).toEqual(few.lookUps);
	});
});
