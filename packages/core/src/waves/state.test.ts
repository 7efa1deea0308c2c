/** The status of a wave after one of its hosts has moved to another pool. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {applyRecord} from '../fleet/apply-record.js';
import {createFleetState, type FleetState} from '../fleet/state.js';
import type {RecordId, WaveId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {getWaveStatus, listWaitingHosts} from './state.js';

const finishBy = 1_000_000;
const at = 1 as Instant;
const waveId = 'wave-1' as WaveId;
const chainStep = {term: 1, operationId: 'operation-1'};

function append(fleet: FleetState, schema: string, body: unknown): void {
	const offset = fleet.nextOffset;
	const record = {
		recordId: `record-${offset}` as RecordId, schema, version: 1, body,
	};
	expect(applyRecord(fleet, {offset, at, record})).toEqual({verdict: 'accepted'});
}

function createFleet(): FleetState {
	const fleet = createFleetState();
	append(fleet, 'pool', {pool: 'trucks', minimumHealthyHosts: 0});
	append(fleet, 'pool', {pool: 'spare', minimumHealthyHosts: 0});
	for (const hostId of ['worker-1', 'worker-2']) {
		append(fleet, 'host', {
			hostId, pool: 'trucks', availabilityZone: hostId, rack: hostId,
		});
	}

	append(fleet, 'planner-lease', {
		holder: 'entry-1', incarnation: 'incarnation-1', term: 1, deadline: 5000,
	});
	append(fleet, 'wave', {
		waveId, pool: 'trucks', finishBy, drainLimitMs: 1000, weights: {rollOutTime: 1, bufferCost: 1},
	});
	return fleet;
}

function moveHost(fleet: FleetState, from: string, to: string): void {
	const hostId = 'worker-1';
	append(fleet, 'move', {hostId, to});
	append(fleet, 'move-lend', {
		...chainStep, hostId, from, to, drainDeadline: finishBy,
	});
	for (const step of ['move-drained', 'move-released', 'move-joined']) {
		append(fleet, step, {...chainStep, hostId});
	}
}

function rebootHost(fleet: FleetState, hostId: string): void {
	append(fleet, 'outage-grant', {
		...chainStep, hostId, waveId, drainDeadline: finishBy,
	});
	append(fleet, 'host-drained', {...chainStep, hostId});
	append(fleet, 'host-rebooted', {...chainStep, hostId});
	append(fleet, 'outage-end', {...chainStep, hostId, outcome: 'rebooted'});
}

describe('getWaveStatus', () => {
	const readStatus = (fleet: FleetState) => getWaveStatus(fleet, fleet.waves.get(waveId)!, at);

	it('is done once all hosts that remain in the pool are rebooted', () => {
		const fleet = createFleet();
		moveHost(fleet, 'trucks', 'spare');
		expect(readStatus(fleet)).toEqual('active');
		rebootHost(fleet, 'worker-2');
		expect(readStatus(fleet)).toEqual('done');
	});

	it('is active again if the host returns to the pool', () => {
		const fleet = createFleet();
		moveHost(fleet, 'trucks', 'spare');
		rebootHost(fleet, 'worker-2');
		moveHost(fleet, 'spare', 'trucks');
		expect(readStatus(fleet)).toEqual('active');
		expect(listWaitingHosts(fleet, fleet.waves.get(waveId)!)).toEqual(['worker-1' as never]);
	});
});
