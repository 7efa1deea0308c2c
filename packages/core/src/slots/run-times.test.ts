/** Decisions by observed run times: which requests can still meet their deadline, and for how long the run times are used. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../types/time.js';
import {TestHosts} from './test-hosts.js';

/** One host with one slot that has observed these run times. */
function createHosts(runTimesMs: readonly number[]): TestHosts {
	const hosts = TestHosts.create(1, 1, 1);
	for (const afterMs of runTimesMs) {
		hosts.pushRequest('entry-1', {isIdempotent: true});
		hosts.endAttempt({end: 'answered', afterMs});
	}

	return hosts;
}

describe('observed run times', () => {
	it('a waiting request is refused, not sent, once the remaining time is shorter than a long run', () => {
		const hosts = createHosts([100, 200, 100, 200, 100, 200]);
		hosts.pushRequest('entry-1');
		const waiting = hosts.pushRequest('entry-1', {deadline: (hosts.now + 400) as Instant});
		hosts.endAttempt({end: 'answered', afterMs: 230});
		expect(hosts.refusals.map(({callerKey, fault}) => [callerKey, fault.kind])).toEqual([[waiting, 'deadline-unreachable']]);
		expect(hosts.dispatches).toEqual([]);
	});

	it('one stalled run does not cause requests to be refused', () => {
		const hosts = createHosts([100, 100, 100, 100, 100, 3000, 100, 100, 100, 100]);
		hosts.pushRequest('entry-1', {deadline: (hosts.now + 1000) as Instant});
		expect(hosts.refusals).toEqual([]);
		expect(hosts.dispatches.length).toEqual(1);
	});

	it('idempotent work is tried again on idle slots, so that it is not refused forever after a slow period', () => {
		const hosts = createHosts([5000, 5000, 5000]);
		for (let index = 0; index < 160; index++) {
			hosts.pushRequest('entry-1', {isIdempotent: true, deadline: (hosts.now + 1000) as Instant});
			hosts.endAttempt({end: 'answered', afterMs: 50});
		}

		expect(hosts.refusals).toEqual([]);
		hosts.pushRequest('entry-1', {deadline: (hosts.now + 1000) as Instant});
		expect(hosts.dispatches.length).toEqual(1);
	});

	it('work that was slow once is refused for a minute at most', () => {
		const hosts = createHosts([5000, 5000, 5000]);
		hosts.pushRequest('entry-1', {deadline: (hosts.now + 1000) as Instant});
		expect(hosts.refusals.length).toEqual(1);
		hosts.advance(61_000);
		hosts.pushRequest('entry-1', {deadline: (hosts.now + 1000) as Instant});
		expect(hosts.dispatches.length).toEqual(1);
	});
});
