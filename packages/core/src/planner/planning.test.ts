/** Tests of how many hosts a wave takes out at once: the wave's weights limit the hosts with non-resumable tasks. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createState, reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import {
	availabilityZoneSchema, hostIdSchema, incarnationSchema, recordIdSchema,
} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import type {ListedWorker} from './workers.js';

const availabilityZone = availabilityZoneSchema.parse('zone-1');
const hostIds = Array.from({length: 6}, (_, index) => hostIdSchema.parse(`worker-${index + 1}`));
const drainLimitMs = 60_000;
const farEnd = 1_000_000_000;

type Wave = {readonly rollOutTime: number; readonly finishBy?: number};

/** A planner for a pool of six hosts whose budget allows four of them out. */
function createPlanner({rollOutTime, finishBy = farEnd}: Wave): State {
	const state = createState({
		self: {hostId: hostIdSchema.parse('entry-1'), availabilityZone, address: '127.0.0.1:1'}, incarnation: incarnationSchema.parse('incarnation-1'), peers: [], routingPolicy: 'least-outstanding', seed: 1,
	});
	const pool = 'trucks';
	const bodies = [
		{
			schema: 'planner-lease', body: {
				holder: 'entry-1', incarnation: 'incarnation-1', term: 1, deadline: 6000,
			},
		},
		{schema: 'pool', version: 2, body: {pool, budget: {minimumHealthyHosts: 2, maximumHostsOut: 4, maximumHostsOutPerZone: 4}}},
		...hostIds.map(hostId => ({
			schema: 'host', body: {
				hostId, pool, availabilityZone, rack: 'rack-1',
			},
		})),
		{
			schema: 'wave', body: {
				waveId: 'wave', pool, finishBy, drainLimitMs, weights: {rollOutTime, bufferCost: 1 - rollOutTime},
			},
		},
	];
	for (const [index, record] of bodies.entries()) {
		const logged = {offset: index as Offset, at: 0 as Instant, record: {version: 1, ...record, recordId: recordIdSchema.parse(`record-${index}`)}};
		expect(applyRecord(state.fleet, logged)).toEqual({verdict: 'accepted'});
	}

	return state;
}

/** The hosts that the planner proposes to take out if all run tasks except the last `hostsWithoutTasks`. */
function listGranted(wave: Wave, hostsWithoutTasks: number): string[] {
	const state = createPlanner(wave);
	const workers = hostIds.map((hostId, index): ListedWorker => ({
		hostId, availabilityZone, state: 'up', runningTasks: index < hostIds.length - hostsWithoutTasks ? 3 : 0, reportedAt: 0 as Instant,
	}));
	reduce(state, {type: 'workers/listed', at: 100 as Instant, workers});
	reduce(state, {type: 'clock/ticked', at: 200 as Instant});
	return [...state.planner.proposals.keys()].toSorted();
}

describe('a wave', () => {
	it('that weights only roll-out time takes out as many hosts as the budget allows', () => {
		expect(listGranted({rollOutTime: 1}, 1).length).toEqual(4);
	});

	it('that weights buffer cost takes out the hosts without non-resumable tasks, and one other', () => {
		expect(listGranted({rollOutTime: 0.2}, 2)).toEqual(['worker-1', 'worker-5', 'worker-6']);
	});

	it('uses its full budget when its deadline is near', () => {
		expect(listGranted({rollOutTime: 0.2, finishBy: drainLimitMs}, 0).length).toEqual(4);
	});
});
