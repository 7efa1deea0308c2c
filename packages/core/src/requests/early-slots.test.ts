/** A slot is asked for beside the claim: in any order of their answers a request runs only when claimed, is refused only truly, and gives an unused slot back. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createState, reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import type {PeerMessage} from '../membership/messages.js';
import type {Effect, EffectOf, EffectType} from '../types/effects.js';
import type {Event} from '../types/events.js';
import {getFaultAnswer} from '../types/faults.js';
import {listedHostSchema} from '../types/hosts.js';
import type {
	AvailabilityZone, CallerKey, HostId, Incarnation, RecordId, RequestId, ServiceId, TeamId,
} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {LogRecord} from '../types/records.js';
import type {Instant, Offset} from '../types/time.js';

const service = 'replans' as ServiceId;
const hosts = ['a', 'b', 'c'].map((zone): EntryHost => ({
	hostId: `entry-${zone}` as HostId, availabilityZone: zone as AvailabilityZone, address: '127.0.0.1:1',
}));
const [self, steward, voter] = hosts as [EntryHost, EntryHost, EntryHost];
/** In the zone of another host, which is therefore its steward. */
const target = listedHostSchema.parse({
	hostId: 'runner', role: 'runner', availabilityZone: 'b', address: '127.0.0.1:2', service, state: 'live',
});

/** One entry host whose peers answer when a test says so. */
class LoneHost {
	static create(): LoneHost {
		return new LoneHost();
	}

	now = 1_000_000;
	readonly effects: Effect[] = [];
	readonly refusedAsks: string[] = [];
	readonly state = createState({
		self, incarnation: `${self.hostId}-i` as Incarnation, peers: [steward, voter], routingPolicy: 'steward', seed: 1,
	});

	private constructor() {
		const bodies = [
			{schema: 'pool', body: {pool: 'trucks', minimumHealthyHosts: 1}},
			{
				schema: 'service',
				body: {
					service, pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
				},
			},
			...hosts.map(({hostId, availabilityZone}) => ({schema: 'entry-host-joined', body: {hostId, incarnation: `${hostId}-i`, availabilityZone}})),
		];
		for (const [offset, one] of bodies.entries()) {
			const record: LogRecord = {...one, recordId: `record-${offset}` as RecordId, version: 1};
			applyRecord(this.state.fleet, {offset: offset as Offset, at: this.at, record});
		}

		this.state.claims.isVoting = true;
		this.push({type: 'hosts/listed', at: this.now as Instant, hosts: [target]});
		for (const {hostId} of [steward, voter]) {
			this.push({type: 'peer/linked', at: this.now as Instant, peer: hostId});
		}

		this.hear();
		this.effects.length = 0;
	}

	get at(): Instant {
		return this.now as Instant;
	}

	/** Both peers are alive. */
	hear(): void {
		for (const {hostId} of [steward, voter]) {
			this.receive(hostId, {
				type: 'hello', hostId, incarnation: `${hostId}-i` as Incarnation, protocolVersion: 1,
			});
			this.receive(hostId, {
				type: 'heartbeat', hostId, incarnation: `${hostId}-i` as Incarnation, sentAt: this.at, nextOffset: 0 as Offset, digest: '',
			});
		}
	}

	push(event: Event): void {
		this.effects.push(...reduce(this.state, event));
	}

	receive(peer: HostId, message: PeerMessage): void {
		this.push({
			type: 'peer/message', at: this.at, peer, message,
		});
	}

	arrive(callerKey = 'call-1' as CallerKey): void {
		this.push({
			type: 'request/arrived',
			at: this.at,
			request: {
				callerKey, requestId: 'request-1' as RequestId, service, team: 'tartu' as TeamId, workClass: 'quick', isIdempotent: false, arrivedAt: this.at, deadline: (this.now + 2000) as Instant,
			},
		});
	}

	pass(milliseconds: number): void {
		this.now += milliseconds;
		this.hear();
		this.push({type: 'clock/ticked', at: this.at});
	}

	list<Type extends EffectType>(type: Type): Array<EffectOf<Type>> {
		return this.effects.filter(effect => effect.type === type) as Array<EffectOf<Type>>;
	}

	listSent<Type extends PeerMessage['type']>(type: Type): Array<Extract<PeerMessage, {type: Type}>> {
		return this.list('peer/send').map(({message}) => message).filter(message => message.type === type) as Array<Extract<PeerMessage, {type: Type}>>;
	}

	/** The steward answers the latest ask, if one is unanswered. */
	answerAsk(isGranted: boolean): void {
		const ask = this.listSent('slot-ask').at(-1)?.ask;
		if (ask && !isGranted) {
			this.refusedAsks.push(ask.askId);
		}

		if (ask) {
			this.receive(steward.hostId, isGranted
				? {type: 'slot-grant', askId: ask.askId, target: target.hostId}
				: {
					type: 'slot-refuse', askId: ask.askId, kind: 'queue-full', comeBackAt: this.at,
				});
		}
	}

	/** The peers answer the latest claim; `taken`: another host has dispatched a request of this id. */
	vote(verdict: 'granted' | 'taken'): void {
		const ask = this.listSent('claim-ask').at(-1);
		for (const {hostId} of ask ? [steward, voter] : []) {
			this.receive(hostId, {
				type: 'claim-answer',
				requestId: ask!.requestId,
				claimId: ask!.claimId,
				verdict,
				incarnation: `${hostId}-i` as Incarnation,
				membersOffset: this.state.fleet.membersOffset,
				...verdict === 'taken' ? {holder: {claimId: 'other' as never, owner: voter.hostId, isHeld: true}} : {},
			});
		}
	}

	/** Asks and slots that were neither given back nor are in use. */
	listKept(): string[] {
		const released = new Set(this.listSent('slot-release').map(({askId}) => askId));
		return this.listSent('slot-ask').map(({ask}) => ask.askId).filter(askId => !released.has(askId) && !this.refusedAsks.includes(askId));
	}
}

describe('a slot asked for beside the claim', () => {
	it('asks for both at once, and dispatches when both are there, in either order', () => {
		for (const order of [['slot', 'claim'], ['claim', 'slot']]) {
			const host = LoneHost.create();
			host.arrive();
			expect([host.listSent('slot-ask').length, host.listSent('claim-ask').length > 0]).toEqual([1, true]);
			for (const [index, answer] of order.entries()) {
				expect(host.list('attempt/dispatch').length).toEqual(0);
				if (answer === 'slot') {
					host.answerAsk(true);
				} else {
					host.vote('granted');
				}

				expect(host.list('attempt/dispatch').length).toEqual(index);
			}

			expect(host.listSent('slot-ask').length).toEqual(1);
		}
	});

	it('a request whose id ran elsewhere is never refused as not run, and gives its slot back at once', () => {
		for (const isGranted of [true, false]) {
			const host = LoneHost.create();
			host.arrive();
			host.answerAsk(isGranted);
			expect(host.list('caller/refuse')).toEqual([]);
			host.vote('taken');
			expect(host.list('caller/refuse').map(({fault}) => fault.kind)).toEqual(['request-in-progress']);
			expect(host.listSent('slot-release').length).toEqual(isGranted ? 1 : 0);
			expect(host.list('attempt/dispatch')).toEqual([]);
		}
	});

	it('a claimed request that gets no slot is refused truly, and a repeat may run', () => {
		const host = LoneHost.create();
		host.arrive();
		host.answerAsk(false);
		host.vote('granted');
		host.answerAsk(false);
		expect(host.list('caller/refuse').map(({fault}) => fault.kind)).toEqual(['queue-full']);
		expect(host.listSent('claim-release').length).toEqual(2);
		host.arrive('call-2' as CallerKey);
		host.vote('granted');
		host.answerAsk(true);
		expect(host.list('attempt/dispatch').map(({callerKey}) => callerKey as string)).toEqual(['call-2']);
	});

	it('gives the slot back where the votes take long, and asks again once claimed', () => {
		const host = LoneHost.create();
		host.arrive();
		host.answerAsk(true);
		host.pass(100);
		expect(host.listSent('slot-release').map(({end}) => end)).toEqual(['withdrawn']);
		host.vote('granted');
		expect(host.listSent('slot-ask').length).toEqual(2);
		host.answerAsk(true);
		expect(host.list('attempt/dispatch').length).toEqual(1);
	});

	it('holds in any course of answers, ticks and leaving callers', () => {
		const step = fc.constantFrom('grant', 'refuse', 'vote', 'taken', 'tick', 'gone', 'repeat');
		fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
			const host = LoneHost.create();
			const actions: Readonly<Record<string, () => void>> = {
				grant() {
					host.answerAsk(true);
				},
				refuse() {
					host.answerAsk(false);
				},
				vote() {
					host.vote('granted');
				},
				taken() {
					host.vote('taken');
				},
				tick() {
					host.pass(60);
				},
				gone() {
					host.push({type: 'caller/gone', at: host.at, callerKey: 'call-1' as CallerKey});
				},
				repeat() {
					host.arrive(`repeat-${host.effects.length}` as CallerKey);
				},
			};
			host.arrive();
			for (const one of steps) {
				actions[one]?.();
			}

			for (let passed = 0; passed < 3000; passed += 60) {
				host.pass(60);
			}

			expect(host.list('invariant/violated')).toEqual([]);
			const dispatched = host.list('attempt/dispatch').map(({callerKey}) => callerKey as string);
			expect(dispatched.length).toBeLessThanOrEqual(1);
			const refused = host.list('caller/refuse').filter(({fault}) => getFaultAnswer(fault.kind).family === 'refused');
			expect(refused.filter(({callerKey}) => dispatched.includes(callerKey))).toEqual([]);
			const inUse = [...host.state.requests.grants.keys()] as string[];
			expect(host.listKept().filter(askId => !inUse.includes(askId))).toEqual([]);
			expect(inUse.length).toEqual(dispatched.length);
		}), {numRuns: 300, seed: 65});
	});
});
