/** An `outage-return` puts a host back in service before its drain has ended, only in the term in force, and does not count as a failure of the host. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {applyRecord} from '../fleet/apply-record.js';
import {createFleetState} from '../fleet/state.js';
import {hostIdSchema, recordIdSchema, waveIdSchema} from '../types/ids.js';
import type {Instant} from '../types/time.js';

const hostId = hostIdSchema.parse('worker-1');
const waveId = waveIdSchema.parse('wave');

describe('an outage-return', () => {
	it('is accepted for a granted host only, not for a drained one nor with another term', () => {
		const fleet = createFleetState();
		const append = (schema: string, body: unknown) => applyRecord(fleet, {
			offset: fleet.nextOffset, at: 0 as Instant, record: {
				recordId: recordIdSchema.parse(`record-${fleet.nextOffset}`), schema, version: 1, body,
			},
		}).verdict;
		const step = {hostId, operationId: 'op-1', term: 1};
		const grant = {...step, waveId, drainDeadline: 1000};
		append('planner-lease', {
			holder: 'entry-1', incarnation: 'incarnation-1', term: 1, deadline: 5000,
		});
		append('pool', {pool: 'trucks', minimumHealthyHosts: 0});
		append('host', {
			hostId, pool: 'trucks', availabilityZone: 'zone-1', rack: 'rack-1',
		});
		append('wave', {
			waveId, pool: 'trucks', finishBy: 9000, drainLimitMs: 1000, weights: {rollOutTime: 1, bufferCost: 1},
		});
		expect(append('outage-grant', grant)).toEqual('accepted');
		expect(append('outage-return', {...step, term: 2})).toEqual('void');
		expect(append('outage-return', {...step, operationId: 'op-2'})).toEqual('void');
		expect(append('outage-return', step)).toEqual('accepted');
		expect(append('outage-return', step)).toEqual('void');
		expect(fleet.hosts.get(hostId)?.chain).toEqual(undefined);
		expect(fleet.waves.get(waveId)?.hosts).toEqual([{hostId, state: 'waiting', failures: 0}]);
		expect(append('outage-grant', grant)).toEqual('accepted');
		expect(append('host-drained', step)).toEqual('accepted');
		expect(append('outage-return', step)).toEqual('void');
	});
});
