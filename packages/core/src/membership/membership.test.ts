/** Tests of membership: which entry hosts are linked, which are live, and protocol versions that differ. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {listStartEffects, reduce} from '../engine/reduce.js';
import {createTestHost, createTick, listEffects} from '../log/test-fleet.js';
import {listedHostSchema, type ListedHost} from '../types/hosts.js';
import type {HostId, Incarnation} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {listLivePeers} from './liveness.js';

const peer = 'entry-2' as HostId;

function createListed(hostId: string, state: 'live' | 'leaving' = 'live'): ListedHost {
	return listedHostSchema.parse({
		hostId, role: 'entry', availabilityZone: 'zone-a', address: `127.0.0.9:1${hostId.length}${hostId.at(-1)}`, state,
	});
}

function sendHeartbeat(state: State, at: number, sentAt: number, nextOffset = 0): void {
	reduce(state, {
		type: 'peer/message',
		at: at as Instant,
		peer,
		message: {
			type: 'heartbeat', hostId: peer, incarnation: 'incarnation-1' as Incarnation, sentAt: sentAt as Instant, nextOffset: nextOffset as Offset,
		},
	});
}

function listLinked(state: State): string[] {
	return state.membership.linkedHosts.map(host => host.hostId as string).toSorted();
}

describe('links', () => {
	it('follow the settings and the host list', () => {
		const state = createTestHost('entry-1', ['entry-2', 'entry-3']);
		expect(listEffects(listStartEffects(state), 'peer/keep-links').length).toEqual(1);
		const effects = reduce(state, {type: 'hosts/listed', at: 1000 as Instant, hosts: ['entry-1', 'entry-2', 'entry-9'].map(id => createListed(id))});
		expect(listEffects(effects, 'peer/keep-links').length).toEqual(1);
		expect(listLinked(state)).toEqual(['entry-2', 'entry-3', 'entry-9']);
		reduce(state, {type: 'hosts/listed', at: 2000 as Instant, hosts: [createListed('entry-1'), createListed('entry-9', 'leaving')]});
		expect(listLinked(state)).toEqual(['entry-3']);
	});

	it('stay as they are while the host list is unavailable', () => {
		const state = createTestHost('entry-1');
		reduce(state, {type: 'hosts/listed', at: 1000 as Instant, hosts: [createListed('entry-9')]});
		reduce(state, {type: 'hosts/list-failed', at: 2000 as Instant, fault: {kind: 'log-unavailable', detail: 'down'}});
		expect(listLinked(state)).toEqual(['entry-9']);
	});
});

describe('liveness', () => {
	it('ends a second after the last heartbeat', () => {
		const state = createTestHost('entry-1');
		sendHeartbeat(state, 1000, 1000);
		expect(listLivePeers(state).length).toEqual(1);
		reduce(state, createTick(2001));
		expect(listLivePeers(state).length).toEqual(0);
	});

	it('counts only the time in which this process ran', () => {
		const state = createTestHost('entry-1');
		sendHeartbeat(state, 1000, 1000);
		reduce(state, {type: 'process/resumed', at: 4300 as Instant, stoppedAt: 1300 as Instant});
		reduce(state, createTick(4999));
		expect(listLivePeers(state).length).toEqual(1);
		reduce(state, createTick(5000));
		expect(listLivePeers(state).length).toEqual(0);
	});

	it('ends although this process stands still again and again', () => {
		const state = createTestHost('entry-1');
		sendHeartbeat(state, 1000, 1000);
		for (let stoppedAt = 1300; stoppedAt < 4300; stoppedAt += 300) {
			reduce(state, {type: 'process/resumed', at: stoppedAt + 300 as Instant, stoppedAt: stoppedAt as Instant});
		}

		expect(listLivePeers(state).length).toEqual(0);
	});

	it('of a peer that was dead before this process stood still is not restored', () => {
		const state = createTestHost('entry-1');
		sendHeartbeat(state, 1000, 1000);
		reduce(state, createTick(2001));
		reduce(state, {type: 'process/resumed', at: 4300 as Instant, stoppedAt: 2001 as Instant});
		expect(listLivePeers(state).length).toEqual(0);
	});

	it('is not restored by heartbeats that were buffered', () => {
		const state = createTestHost('entry-1');
		sendHeartbeat(state, 1000, 500_000);
		sendHeartbeat(state, 9000, 500_200);
		expect(listLivePeers(state).length).toEqual(0);
		sendHeartbeat(state, 9001, 508_000);
		expect(listLivePeers(state).length).toEqual(1);
	});

	it('is restored some seconds after the peer\'s clock was set back', () => {
		const state = createTestHost('entry-1');
		sendHeartbeat(state, 100_000, 100_000);
		for (let at = 100_200; at <= 106_000; at += 200) {
			sendHeartbeat(state, at, at - 50_000);
		}

		expect(listLivePeers(state).length).toEqual(1);
	});

	it('requires protocol versions that differ by at most one', () => {
		for (const [protocolVersion, count] of [[0, 0], [1, 1], [2, 1], [3, 1], [4, 0]] as const) {
			const state = createTestHost('entry-1');
			reduce(state, {
				type: 'peer/message', at: 1000 as Instant, peer, message: {
					type: 'hello', hostId: peer, incarnation: 'incarnation-1' as Incarnation, protocolVersion,
				},
			});
			sendHeartbeat(state, 1001, 1001);
			expect(listLivePeers(state).length).toEqual(count);
		}
	});
});
