/** Gauges of an entry host, sent periodically. docs/operators/metrics.md lists each with its unit. */
import {isPeerLive} from '../membership/liveness.js';
import type {MetricEffect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';

const gaugeIntervalMs = 5000;

type Gauge = (state: State) => number;

const gauges: Readonly<Record<string, Gauge>> = {
	'request.open': state => state.requests.open.size,
	'log.next_offset': state => state.fleet.nextOffset,
	'log.reachable': state => Number(state.log.isReachable),
	'log.pending_records': state => state.log.pending.size,
	'peer.live': state => [...state.membership.peers.values()].filter(peer => isPeerLive(state, peer)).length,
	'claim.remembered': state => state.claims.remembered.size,
	'claim.voting': state => Number(state.claims.isVoting),
	'job.waiting': state => countJobs(state, 'waiting'),
	'job.running': state => countJobs(state, 'running'),
	'job.parked': state => countJobs(state, 'parked'),
	'host.out_by_plan': state => [...state.fleet.hosts.values()].filter(host => host.chain !== undefined).length,
	'host.down': state => [...state.fleet.hosts.values()].filter(host => host.isDown).length,
};

/** Sends all gauges if the interval has passed. */
export function tickGauges(state: State): MetricEffect[] {
	if (state.now < state.burn.nextGaugesAt) {
		return [];
	}

	state.burn.nextGaugesAt = addMilliseconds(state.now, gaugeIntervalMs);
	return Object.entries(gauges).map(([name, measure]) => ({
		type: 'metric/send', kind: 'gauge', name, value: measure(state), tags: {},
	}));
}

function countJobs(state: State, step: string): number {
	return [...state.fleet.jobs.jobs.values()].filter(job => job.step === step).length;
}
