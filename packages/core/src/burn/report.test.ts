/** Tests that burn reports of several entry hosts are merged. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reduce, createState} from '../engine/reduce.js';
import type {Event} from '../types/events.js';
import type {
	AvailabilityZone, CallerKey, HostId, Incarnation, RecordId, RequestId, ServiceId, TeamId,
} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {describeBurn, hostBurnSchema, mergeBurns} from './report.js';

const service = 'routes' as ServiceId;

function createHost(name: string): State {
	const state = createState({
		self: {hostId: name as HostId, availabilityZone: 'a' as AvailabilityZone, address: '127.0.0.1:1'},
		incarnation: `${name}-1` as Incarnation,
		peers: [],
		routingPolicy: 'least-outstanding',
		seed: 1,
	});
	const bodies = [
		{schema: 'pool', body: {pool: 'trucks', minimumHealthyHosts: 0}},
		{
			schema: 'service',
			body: {
				service, pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
			},
		},
		{
			schema: 'objective',
			body: {
				service, goodShare: 0.9, latencyBoundMs: 100, windowMinutes: 60,
			},
		},
	];
	const records = bodies.map((body, index) => ({
		offset: index as Offset, at: 0 as Instant, record: {recordId: `r${index}` as RecordId, version: 1, ...body},
	}));
	reduce(state, {
		type: 'log/read', at: 1 as Instant, records, firstOffset: 0 as Offset, nextOffset: 3 as Offset,
	});
	return state;
}

function createArrival(index: number): Event {
	return {
		type: 'request/arrived',
		at: 1000 as Instant,
		request: {
			callerKey: `call-${index}` as CallerKey,
			requestId: `request-${index}` as RequestId,
			service,
			team: 'dispatch' as TeamId,
			workClass: 'quick',
			isIdempotent: true,
			arrivedAt: 1000 as Instant,
			deadline: 9000 as Instant,
		},
	};
}

describe('burn reports', () => {
	it('count a refusal by its kind and are summed over hosts', () => {
		const hosts = [createHost('entry-1'), createHost('entry-2')];
		for (const host of hosts) {
			const effects = reduce(host, createArrival(1));
			expect(effects.some(effect => effect.type === 'caller/refuse')).toEqual(true);
		}

		const texts = hosts.map(host => JSON.stringify(describeBurn(host)));
		const reports = texts.map(text => hostBurnSchema.parse(JSON.parse(text)));
		const merged = mergeBurns(reports);
		expect(merged.length).toEqual(1);
		expect(merged[0]?.minutes.map(minute => minute.bad)).toEqual([2]);
		expect(merged[0]?.minutes[0]?.badByCause).toEqual({'no-target': 2});
		expect(merged[0]?.latencies.totalCount).toEqual(2);
	});
});
