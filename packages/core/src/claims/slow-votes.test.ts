/** Claims whose votes arrive late because of a busy network or machine: the host waits while a majority is alive, without flooding the members with asks. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {CallerKey} from '../types/ids.js';
import {HostWithFakePeers} from '../requests/host-with-fake-peers.js';

const tickMs = 50;
const heartbeatTimeoutMs = 1000;
const callerKey = 'call-1' as CallerKey;

function passTime(host: HostWithFakePeers, milliseconds: number, arePeersAlive: boolean): void {
	for (let passed = 0; passed < milliseconds; passed += tickMs) {
		host.advance(tickMs, arePeersAlive);
	}
}

describe('late votes', () => {
	it('are waited for while a majority is alive', () => {
		const host = HostWithFakePeers.create();
		host.pushRequest();
		passTime(host, 1500, true);
		expect(host.list('caller/refuse')).toEqual([]);
		host.answerClaim('granted');
		host.answerAsk(true);
		expect(host.list('attempt/dispatch').length).toEqual(1);
	});

	it('are asked for less and less often', () => {
		const host = HostWithFakePeers.create();
		host.pushRequest();
		passTime(host, 1800, true);
		const peers = 2;
		expect(host.listSent('claim-ask').length).toBeLessThanOrEqual(5 * peers);
	});

	it('are not waited for once no majority is reachable', () => {
		const host = HostWithFakePeers.create();
		host.pushRequest(callerKey, 10_000);
		passTime(host, heartbeatTimeoutMs + 200, false);
		expect(host.list('caller/refuse').map(({fault}) => fault.kind)).toEqual(['quorum-unreachable']);
	});

	it('are waited for until the deadline at most, then the request is refused as not run', () => {
		const host = HostWithFakePeers.create();
		host.pushRequest();
		passTime(host, 2050, true);
		expect(host.list('caller/refuse').map(({fault}) => fault.kind)).toEqual(['quorum-unreachable']);
	});
});
