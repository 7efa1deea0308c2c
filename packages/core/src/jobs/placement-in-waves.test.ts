/** Placement during a wave: non-resumable jobs go far from the next outages, resumable ones to the hosts that leave first. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {applyRecord} from '../fleet/apply-record.js';
import {createFleetState} from '../fleet/state.js';
import {recordIdSchema, type HostId} from '../types/ids.js';
import type {Instant, Offset} from '../types/time.js';
import {planPlacements, type WorkerCapacity} from './placement.js';

const dueRanks: Readonly<Record<string, number | undefined>> = {first: 0, second: 1, done: undefined};

function chooseWorker(isResumable: boolean, hosts: readonly string[]): string | undefined {
	const fleet = createFleetState();
	const bodies = [
		{schema: 'pool', body: {pool: 'trucks', minimumHealthyHosts: 0}},
		...hosts.map(hostId => ({
			schema: 'host', body: {
				hostId, pool: 'trucks', availabilityZone: 'zone-1', rack: 'rack-1',
			},
		})),
		{
			schema: 'job', body: {
				jobId: 'job', pool: 'trucks', team: 'team', jobClass: 'normal', cores: 1, memoryBytes: 0, declaredRunMs: 1, allowedRuns: 1, isResumable,
			},
		},
	];
	for (const [index, record] of bodies.entries()) {
		const logged = {offset: index as Offset, at: 0 as Instant, record: {version: 1, ...record, recordId: recordIdSchema.parse(`record-${index}`)}};
		expect(applyRecord(fleet, logged)).toEqual({verdict: 'accepted'});
	}

	const capacities = hosts.map((host): WorkerCapacity => ({
		worker: host as HostId, cores: 8, memoryBytes: 1, accelerators: 0, usedCores: 0, usedMemoryBytes: 0, dueRank: dueRanks[host],
	}));
	return planPlacements(fleet, capacities, {observedMemory: new Map(), urgentOnlyWorkers: new Set()}, 0 as Instant).placements[0]?.worker;
}

describe('during a wave', () => {
	it('a non-resumable job goes to a host that is not due, else to the one due last', () => {
		expect(chooseWorker(false, ['first', 'second', 'done'])).toEqual('done');
		expect(chooseWorker(false, ['first', 'second'])).toEqual('second');
		expect(chooseWorker(false, ['first'])).toEqual('first');
	});

	it('a resumable job goes to the host due first', () => {
		expect(chooseWorker(true, ['done', 'second', 'first'])).toEqual('first');
	});
});
