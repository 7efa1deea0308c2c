/** Slots kept between requests: reused without an ask, and released after a timeout, when another host waits, and at shutdown. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {TestHosts, type AttemptOutcome} from '../slots/test-hosts.js';
import type {CallerKey, HostId} from '../types/ids.js';
import type {ListedHost} from '../types/hosts.js';

const answered: AttemptOutcome = {end: 'answered', afterMs: 10};

/** Three hosts, and as `holder` one that is not the steward, so that it may keep slots. */
function createHosts(slotsPerRunner: number): {readonly hosts: TestHosts; readonly holder: HostId} {
	const hosts = TestHosts.create(3, 1, slotsPerRunner);
	hosts.pushRequest('entry-1', {isIdempotent: true});
	const steward = [...hosts.states.entries()].find(([, state]) => [...state.slots.stewards.values()].some(({grants}) => grants.size > 0))?.[0];
	hosts.endAttempt(answered);
	hosts.advance(2000);
	return {hosts, holder: [...hosts.states.keys()].find(hostId => hostId !== steward)!};
}

function countHeld(hosts: TestHosts): number {
	return [...hosts.states.values()].reduce((sum, state) => sum + state.requests.grants.size, 0);
}

function callOnce(hosts: TestHosts, holder: HostId): CallerKey {
	const callerKey = hosts.pushRequest(holder, {isIdempotent: true});
	hosts.endAttempt(answered);
	return callerKey;
}

describe('a kept slot', () => {
	it('serves the next request of its class without an ask', () => {
		const {hosts, holder} = createHosts(8);
		callOnce(hosts, holder);
		expect(countHeld(hosts)).toEqual(1);
		const asked = hosts.states.get(holder)?.requests.askCount;
		callOnce(hosts, holder);
		expect(hosts.states.get(holder)?.requests.askCount).toEqual(asked);
		hosts.pushRequest(holder, {isIdempotent: true, workClass: 'heavy'});
		expect(hosts.states.get(holder)?.requests.askCount).toEqual((asked ?? 0) + 1);
	});

	it('is released after a second, and at once when its holder stops', () => {
		const {hosts, holder} = createHosts(8);
		callOnce(hosts, holder);
		hosts.advance(1100);
		expect(countHeld(hosts)).toEqual(0);
		callOnce(hosts, holder);
		hosts.push(holder, {type: 'stop/requested', at: hosts.at});
		hosts.advance(50);
		expect(countHeld(hosts)).toEqual(0);
	});

	it('is released at once when another host waits, so that no slot stays idle', () => {
		const {hosts, holder} = createHosts(2);
		callOnce(hosts, holder);
		expect(countHeld(hosts)).toEqual(1);
		const other = [...hosts.states.keys()].find(hostId => hostId !== holder)!;
		hosts.pushRequest(other, {isIdempotent: true});
		hosts.pushRequest(other, {isIdempotent: true});
		expect(hosts.dispatches.length).toEqual(2);
		hosts.pushRequest(other, {isIdempotent: true});
		hosts.endAttempt(answered);
		expect(hosts.dispatches.length).toEqual(2);
		expect(hosts.violations).toEqual([]);
	});

	it('is not used once its target is leaving', () => {
		const {hosts, holder} = createHosts(8);
		callOnce(hosts, holder);
		const listed = [...hosts.states.get(holder)!.targets.targets.values()].map(({listed: host}): ListedHost => ({...host, state: 'leaving'}));
		for (const hostId of hosts.states.keys()) {
			hosts.push(hostId, {type: 'hosts/listed', at: hosts.at, hosts: listed});
		}

		hosts.pushRequest(holder, {isIdempotent: true});
		expect(hosts.dispatches.length).toEqual(0);
	});
});
