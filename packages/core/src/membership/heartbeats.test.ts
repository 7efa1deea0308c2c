/** Tests of heartbeats: which messages are sent to peers of either protocol version, how often, and that pulses keep a peer live. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {reduce} from '../engine/reduce.js';
import {
	createPage, createTestHost, createTestLog, createTick, listEffects, startTestHost,
} from '../log/test-fleet.js';
import type {Event} from '../types/events.js';
import type {HostId, Incarnation} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {Instant} from '../types/time.js';
import {listLivePeers} from './liveness.js';
import {peerMessageSchema, protocolVersion, type PeerMessage} from './messages.js';

const peer = 'entry-2' as HostId;
const startAt = 100_000;

function createMessage(at: number, message: PeerMessage): Event {
	return {
		type: 'peer/message', at: at as Instant, peer, message,
	};
}

function createHello(version: number): PeerMessage {
	return {
		type: 'hello', hostId: peer, incarnation: 'life-of-entry-2' as Incarnation, protocolVersion: version,
	};
}

/** Creates a host that is ready and linked to a peer of the given protocol version. */
function createLinkedHost(version: number): State {
	const state = createTestHost('entry-1', [peer]);
	startTestHost(state, createTestLog(5), startAt);
	reduce(state, createMessage(startAt, createHello(version)));
	reduce(state, {type: 'peer/linked', at: startAt as Instant, peer});
	return state;
}

/** Lists the types of the heartbeat and gossip messages that are sent to the peer in a time span. */
function listSent(state: State, fromAt: number, untilAt: number): string[] {
	const sent: string[] = [];
	for (let at = fromAt; at < untilAt; at += 50) {
		sent.push(...listEffects(reduce(state, createTick(at)), 'peer/send').map(({message}) => message.type));
	}

	return sent.filter(type => ['heartbeat', 'pulse', 'slot-gossip'].includes(type));
}

function countOf(sent: readonly string[], type: string): number {
	return sent.filter(candidate => candidate === type).length;
}

describe('heartbeats', () => {
	it('are pulses while nothing changes, and full heartbeats every two seconds', () => {
		const sent = listSent(createLinkedHost(protocolVersion), startAt + 50, startAt + 10_050);
		expect([countOf(sent, 'heartbeat') + countOf(sent, 'pulse'), countOf(sent, 'heartbeat'), countOf(sent, 'slot-gossip')]).toEqual([40, 5, 5]);
	});

	it('are full heartbeats as soon as a record was applied', () => {
		const state = createLinkedHost(protocolVersion);
		listSent(state, startAt + 50, startAt + 1050);
		reduce(state, createPage(startAt + 1050, createTestLog(6).slice(5), 0, 6));
		expect(listSent(state, startAt + 1100, startAt + 1350)[0]).toEqual('heartbeat');
	});

	it('are full heartbeats to a peer of the previous protocol version, which does not know pulses', () => {
		const sent = listSent(createLinkedHost(protocolVersion - 1), startAt + 50, startAt + 2050);
		expect([countOf(sent, 'heartbeat'), countOf(sent, 'pulse')]).toEqual([8, 0]);
	});

	it('are sent as often to another availability zone, where a late one would lead to a second steward', () => {
		const state = createTestHost('entry-1');
		const remote = {...state.settings.self, hostId: peer, availabilityZone: 'zone-b' as typeof state.settings.self.availabilityZone};
		const moved: State = {...state, settings: {...state.settings, peers: [remote]}};
		startTestHost(moved, createTestLog(5), startAt);
		reduce(moved, createMessage(startAt, createHello(protocolVersion)));
		reduce(moved, {type: 'peer/linked', at: startAt as Instant, peer});
		const sent = listSent(moved, startAt + 50, startAt + 10_050);
		expect(countOf(sent, 'heartbeat') + countOf(sent, 'pulse')).toEqual(40);
	});

	it('keep a peer live if they are pulses, for one second after the last', () => {
		const state = createLinkedHost(protocolVersion);
		reduce(state, createMessage(startAt, {
			type: 'heartbeat', hostId: peer, incarnation: 'life-of-entry-2' as Incarnation, sentAt: startAt as Instant, nextOffset: state.fleet.nextOffset,
		}));
		for (let at = startAt; at <= startAt + 5000; at += 500) {
			reduce(state, createMessage(at, {type: 'pulse', sentAt: at as Instant}));
		}

		reduce(state, createTick(startAt + 5950));
		expect(listLivePeers(state).length).toEqual(1);
		reduce(state, createTick(startAt + 6001));
		expect(listLivePeers(state).length).toEqual(0);
	});
});

describe('messages of another protocol version', () => {
	const heartbeat = {
		type: 'heartbeat', hostId: peer, incarnation: 'incarnation-2', sentAt: startAt, nextOffset: 5,
	};

	it('that is one version newer may have unknown fields', () => {
		const parsed = peerMessageSchema.safeParse({...heartbeat, load: 0.5, zones: ['zone-a']});
		expect(parsed.success && parsed.data.type).toEqual('heartbeat');
	});

	it('that is one version older may lack the fields that were added later', () => {
		expect(peerMessageSchema.safeParse(heartbeat).success).toEqual(true);
	});

	it('are counted and change nothing if their type is unknown', () => {
		expect(peerMessageSchema.safeParse({type: 'zone-digest', sentAt: startAt}).success).toEqual(false);
		const state = createLinkedHost(protocolVersion + 1);
		const offset = state.fleet.nextOffset;
		reduce(state, {type: 'peer/message-unknown', at: startAt as Instant, peer});
		expect([state.membership.unknownMessageCount, state.fleet.nextOffset]).toEqual([1, offset]);
	});
});
