/** Tests of the executor: it reads an operation's state before repeating it, and makes no call without a valid lease, a recent list of workers and enough healthy hosts. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createState, reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import type {Effect, EffectOf} from '../types/effects.js';
import type {Event} from '../types/events.js';
import {
	availabilityZoneSchema, hostIdSchema, incarnationSchema, recordIdSchema, type HostId,
} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import type {ListedWorker} from './workers.js';

const hostIds = ['worker-1', 'worker-2', 'worker-3'].map(text => hostIdSchema.parse(text));
const planner = {
	hostId: hostIdSchema.parse('entry-1'), availabilityZone: availabilityZoneSchema.parse('zone-1'), address: '127.0.0.1:1',
};
const leaseDeadline = 6000;
const operationId = 'wave.worker-1.1';

function listRecords(): Array<{schema: string; version: number; body: unknown}> {
	const pool = 'trucks';
	const lease = {
		holder: planner.hostId, incarnation: 'incarnation-1', term: 1, deadline: leaseDeadline,
	};
	const wave = {
		waveId: 'wave', pool, hosts: ['worker-1'], finishBy: 1_000_000, drainLimitMs: 60_000, weights: {rollOutTime: 1, bufferCost: 1},
	};
	const grant = {
		hostId: 'worker-1', waveId: 'wave', term: 1, operationId, drainDeadline: 60_000,
	};
	return [
		{schema: 'planner-lease', version: 1, body: lease},
		{schema: 'pool', version: 1, body: {pool, minimumHealthyHosts: 2}},
		...hostIds.map(hostId => ({
			schema: 'host', version: 1, body: {
				hostId, pool, availabilityZone: 'zone-1', rack: 'rack-1',
			},
		})),
		{schema: 'wave', version: 1, body: wave},
		{schema: 'outage-grant', version: 1, body: grant},
	];
}

/** A planner that holds the lease, with one granted outage whose drain has not started. */
function createPlanner(): State {
	const state = createState({
		self: planner, incarnation: incarnationSchema.parse('incarnation-1'), peers: [], routingPolicy: 'least-outstanding', seed: 1,
	});
	for (const [index, record] of listRecords().entries()) {
		const logged = {offset: index as Offset, at: 0 as Instant, record: {...record, recordId: recordIdSchema.parse(`record-${index}`)}};
		expect(applyRecord(state.fleet, logged).verdict).toEqual('accepted');
	}

	return state;
}

function listWorkers(at: number, down: readonly HostId[] = []): Event {
	const workers = hostIds.map((hostId): ListedWorker => ({
		hostId, availabilityZone: planner.availabilityZone, state: down.includes(hostId) ? 'down' : 'up', runningTasks: 0, reportedAt: at as Instant,
	}));
	return {type: 'workers/listed', at: at as Instant, workers};
}

/** Ticks once and returns the operation calls to the platform. */
function tick(state: State, at: number): Array<EffectOf<'operation/start'> | EffectOf<'operation/read'>> {
	const effects: Effect[] = reduce(state, {type: 'clock/ticked', at: at as Instant});
	expect(effects.filter(effect => effect.type === 'invariant/violated')).toEqual([]);
	return effects.filter(effect => effect.type === 'operation/start' || effect.type === 'operation/read');
}

function listProposed(state: State): string[] {
	return [...state.log.pending.values()].map(({record}) => record.schema);
}

describe('the executor', () => {
	it('reads the operation after a lost answer, before repeating it with the same id', () => {
		const state = createPlanner();
		reduce(state, listWorkers(100));
		const [start] = tick(state, 200);
		expect(start?.type).toEqual('operation/start');
		expect(tick(state, 400)).toEqual([]);
		reduce(state, {
			type: 'operation/call-failed', at: 500 as Instant, operationId: start!.operationId, fault: {kind: 'log-unavailable', detail: 'lost'},
		});
		const [read] = tick(state, 1200);
		expect(read).toEqual({type: 'operation/read', operationId: start!.operationId});
		reduce(state, {
			type: 'operation/reported', at: 1300 as Instant, operationId: start!.operationId, state: 'absent',
		});
		expect(tick(state, 1400)[0]).toEqual(start);
	});

	it('makes no call once the lease has expired', () => {
		const state = createPlanner();
		reduce(state, listWorkers(leaseDeadline));
		expect(tick(state, leaseDeadline)).toEqual([]);
	});

	it('makes no call without a list of workers', () => {
		const state = createPlanner();
		expect(tick(state, 200)).toEqual([]);
	});

	it('does not drain a host while too few hosts are up, and returns it to service instead', () => {
		const state = createPlanner();
		reduce(state, listWorkers(100, hostIds.slice(1, 2)));
		expect(tick(state, 200)).toEqual([]);
		expect(listProposed(state).includes('outage-return')).toEqual(true);
	});

	it('returns a host that is being drained: undrains it, then records that, and does not drain it again when health recovers', () => {
		const state = createPlanner();
		reduce(state, listWorkers(100));
		const [drain] = tick(state, 200);
		reduce(state, {
			type: 'operation/reported', at: 300 as Instant, operationId: drain!.operationId, state: 'running',
		});
		reduce(state, listWorkers(400, hostIds.slice(1, 2)));
		const [undrain] = tick(state, 400);
		expect(undrain?.type === 'operation/start' && undrain.kind).toEqual('undrain');
		reduce(state, listWorkers(500));
		expect(tick(state, 600)).toEqual([]);
		expect(listProposed(state).includes('outage-return')).toEqual(false);
		reduce(state, {
			type: 'operation/reported', at: 700 as Instant, operationId: undrain!.operationId, state: 'done',
		});
		expect(tick(state, 800)).toEqual([]);
		expect(listProposed(state).includes('outage-return')).toEqual(true);
	});

	it('reads an operation that the planner of an earlier term may have started', () => {
		const state = createPlanner();
		const lease = {
			holder: planner.hostId, incarnation: 'incarnation-1', term: 2, deadline: leaseDeadline + 6000,
		};
		applyRecord(state.fleet, {
			offset: state.fleet.nextOffset, at: leaseDeadline as Instant, record: {
				recordId: recordIdSchema.parse('lease-2'), schema: 'planner-lease', version: 1, body: lease,
			},
		});
		reduce(state, listWorkers(leaseDeadline));
		expect(tick(state, leaseDeadline + 100).map(effect => effect.type)).toEqual(['operation/read']);
	});
});
