/** Slots shared by complete entry hosts: the tests run their reducers and deliver the messages between them. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {HostId, TeamId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {TestHosts, type AttemptOutcome} from './test-hosts.js';

const answered: AttemptOutcome = {end: 'answered', afterMs: 10};

describe('slots shared by entry hosts', () => {
	it('all hosts together never exceed the slots, and each freed slot goes to a waiting request', () => {
		const hosts = TestHosts.create(3, 2, 4);
		for (let index = 0; index < 30; index++) {
			hosts.pushRequest(`entry-${(index % 3) + 1}`);
		}

		expect(hosts.dispatches.length).toEqual(8);
		hosts.endAttempt(answered);
		expect(hosts.dispatches.length).toEqual(8);
		for (let index = 0; index < 29; index++) {
			hosts.endAttempt(answered);
		}

		expect(hosts.dispatches.length).toEqual(0);
		expect(hosts.refusals).toEqual([]);
		expect(hosts.violations).toEqual([]);
	});

	it('after a crash of any one host the others use the same number of slots', () => {
		for (const dead of ['entry-1', 'entry-2', 'entry-3'] as HostId[]) {
			const hosts = TestHosts.create(3, 2, 4);
			for (let index = 0; index < 60; index++) {
				hosts.pushRequest(`entry-${(index % 3) + 1}`);
			}

			hosts.states.delete(dead);
			const lost = hosts.dispatches.filter(dispatch => dispatch.from === dead).length;
			for (const hostId of hosts.states.keys()) {
				hosts.push(hostId, {type: 'peer/unlinked', at: hosts.at, peer: dead});
			}

			hosts.advance(3000);
			const running = hosts.dispatches.filter(dispatch => dispatch.from !== dead);
			expect(running.length).toEqual(8);
			expect(lost).toBeGreaterThanOrEqual(0);
			hosts.dispatches.splice(0, hosts.dispatches.length, ...running);
			for (let index = 0; index < 40; index++) {
				hosts.endAttempt(answered);
			}

			expect(hosts.dispatches.length).toEqual(0);
			expect(hosts.refusals).toEqual([]);
		}
	});

	it('a host that stops hands over its queue, and all requests are served', () => {
		const hosts = TestHosts.create(3, 1, 2);
		for (let index = 0; index < 12; index++) {
			hosts.pushRequest(`entry-${(index % 3) + 1}`);
		}

		hosts.push('entry-1' as HostId, {type: 'stop/requested', at: hosts.at});
		hosts.advance(1000);
		for (let index = 0; index < 12; index++) {
			hosts.endAttempt(answered);
			hosts.advance(50);
		}

		expect(hosts.refusals).toEqual([]);
		expect(hosts.dispatches.length).toEqual(0);
	});
});

describe('the order of a queue', () => {
	it('is earliest deadline first within a team', () => {
		const hosts = TestHosts.create(1, 1, 1);
		hosts.pushRequest('entry-1');
		const late = hosts.pushRequest('entry-1', {deadline: (hosts.now + 9000) as Instant});
		const early = hosts.pushRequest('entry-1', {deadline: (hosts.now + 5000) as Instant});
		hosts.endAttempt(answered);
		expect(hosts.listRunning()).toEqual([early]);
		hosts.endAttempt(answered);
		expect(hosts.listRunning()).toEqual([late]);
	});

	it('a team\'s burst does not delay another team\'s single request by more than one turn', () => {
		const hosts = TestHosts.create(2, 1, 1);
		for (let index = 0; index < 40; index++) {
			hosts.pushRequest('entry-1', {deadline: (hosts.now + 5000) as Instant});
		}

		const trickle = hosts.pushRequest('entry-2', {team: 'parnu' as TeamId});
		hosts.endAttempt(answered);
		hosts.endAttempt(answered);
		hosts.endAttempt(answered);
		expect(hosts.refusals.some(refusal => refusal.callerKey === trickle)).toEqual(false);
		expect([...hosts.states.values()].some(state => state.requests.open.get(trickle)?.attemptCount === 0)).toEqual(false);
	});

	it('long work leaves half of the slots, heavy work leaves a reserve for quick work', () => {
		const hosts = TestHosts.create(1, 1, 8);
		for (let index = 0; index < 20; index++) {
			hosts.pushRequest('entry-1', {workClass: 'long'});
		}

		expect(hosts.dispatches.length).toEqual(4);
		for (let index = 0; index < 20; index++) {
			hosts.pushRequest('entry-1', {workClass: 'heavy'});
		}

		expect(hosts.dispatches.length).toEqual(7);
		const quick = hosts.pushRequest('entry-1');
		expect(hosts.listRunning().at(-1)).toEqual(quick);
	});

	it('requests that cannot meet their deadline by observed run times are refused at once, with jitter in the time to retry', () => {
		const hosts = TestHosts.create(1, 1, 1);
		for (let index = 0; index < 4; index++) {
			hosts.pushRequest('entry-1');
			hosts.endAttempt({end: 'answered', afterMs: 100});
		}

		for (let index = 0; index < 40; index++) {
			hosts.pushRequest('entry-1', {deadline: (hosts.now + 1000) as Instant});
		}

		expect(hosts.refusals.length).toBeGreaterThanOrEqual(30);
		expect(hosts.refusals.every(refusal => refusal.fault.kind === 'deadline-unreachable')).toEqual(true);
		expect(new Set(hosts.refusals.map(refusal => refusal.retryAt)).size).toBeGreaterThanOrEqual(10);
	});

	it('is bounded', () => {
		const hosts = TestHosts.create(1, 1, 1);
		for (let index = 0; index < 200; index++) {
			hosts.pushRequest('entry-1');
		}

		expect(hosts.refusals.length).toBeGreaterThanOrEqual(200 - 1 - 64);
	});
});

describe('retries', () => {
	it('a request that was not sent or was refused by the target is sent again, to another target if it was not sent', () => {
		const hosts = TestHosts.create(1, 2, 4);
		hosts.pushRequest('entry-1');
		const first = hosts.dispatches[0]?.target;
		hosts.endAttempt({end: 'unsent', afterMs: 1});
		expect(hosts.dispatches.length).toEqual(1);
		expect(hosts.dispatches[0]?.target).not.toEqual(first);
		hosts.endAttempt({end: 'refused', afterMs: 1});
		expect(hosts.dispatches.length).toEqual(1);
		expect(hosts.refusals).toEqual([]);
	});

	it('a non-idempotent request that may have run is never sent again, and the caller gets the fault at once', () => {
		const hosts = TestHosts.create(1, 2, 4);
		hosts.pushRequest('entry-1');
		hosts.endAttempt({end: 'lost', afterMs: 1});
		expect(hosts.dispatches.length).toEqual(0);
		expect(hosts.refusals[0]?.fault.kind).toEqual('answer-lost');
	});

	it('an idempotent request that may have run is never refused as not run', () => {
		const hosts = TestHosts.create(1, 1, 4);
		hosts.pushRequest('entry-1', {isIdempotent: true});
		hosts.endAttempt({end: 'lost', afterMs: 1});
		expect(hosts.dispatches.length).toEqual(1);
		for (let index = 0; index < 40; index++) {
			hosts.endAttempt({end: 'unsent', afterMs: 1});
		}

		expect(hosts.refusals[0]?.fault.kind).toEqual('answer-lost');
	});

	it('a budget keeps retries from multiplying an overload', () => {
		const hosts = TestHosts.create(1, 2, 4);
		let attempts = 0;
		for (let index = 0; index < 400; index++) {
			hosts.pushRequest('entry-1');
			for (let tries = 0; tries < 100 && hosts.dispatches.length > 0; tries++) {
				attempts += 1;
				hosts.endAttempt({end: 'refused', afterMs: 30});
			}
		}

		expect(attempts).toBeLessThanOrEqual(400 + 20 + 40);
	});

	it('a failing target is quarantined and later tried again with one request, and the other target stays in use', () => {
		const hosts = TestHosts.create(1, 2, 4);
		for (let index = 0; index < 12; index++) {
			hosts.pushRequest('entry-1', {isIdempotent: true});
			while (hosts.dispatches.length > 0) {
				hosts.endAttempt({end: hosts.dispatches[0]?.target === 'runner-1' ? 'unsent' : 'answered', afterMs: 1});
			}
		}

		for (let index = 0; index < 6; index++) {
			hosts.pushRequest('entry-1');
		}

		expect(hosts.dispatches.every(dispatch => dispatch.target === 'runner-2')).toEqual(true);
		hosts.advance(6000);
		expect(hosts.dispatches.filter(dispatch => dispatch.target === 'runner-1').length).toEqual(1);
	});
});

describe('any sequence of events', () => {
	it('gives each request at most one final answer and breaks no invariant', () => {
		const step = fc.oneof(
			fc.record({
				kind: fc.constant('ask' as const),
				host: fc.integer({min: 1, max: 3}),
				workClass: fc.constantFrom('quick' as const, 'heavy' as const, 'long' as const),
				isIdempotent: fc.boolean(),
				deadlineMs: fc.integer({min: 0, max: 3000}),
			}),
			fc.record({
				kind: fc.constant('end' as const),
				end: fc.constantFrom('answered' as const, 'refused' as const, 'unsent' as const, 'lost' as const),
				afterMs: fc.integer({min: 0, max: 100}),
			}),
			fc.record({kind: fc.constant('pass' as const), milliseconds: fc.integer({min: 0, max: 500})}),
		);
		fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
			const hosts = TestHosts.create(3, 2, 2);
			for (const one of steps) {
				if (one.kind === 'ask') {
					hosts.pushRequest(`entry-${one.host}`, {workClass: one.workClass, isIdempotent: one.isIdempotent, deadline: (hosts.now + one.deadlineMs) as Instant});
				} else if (one.kind === 'end') {
					hosts.endAttempt(one);
				} else {
					hosts.advance(one.milliseconds);
				}
			}

			hosts.advance(4000);
			expect(hosts.violations).toEqual([]);
			const refused = hosts.refusals.map(refusal => refusal.callerKey);
			expect(new Set(refused).size).toEqual(refused.length);
			for (const state of hosts.states.values()) {
				expect([...state.requests.open.values()].every(open => open.asks.size === 0)).toEqual(true);
				expect(state.requests.callersByAsk.size).toEqual(0);
			}
		}), {numRuns: 60, seed: 4});
	});
});
