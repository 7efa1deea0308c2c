/** One entry host for tests with two fake peers: the steward of its service, and another voter on claims. */
import {createState, reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import type {PeerMessage} from '../membership/messages.js';
import type {Effect, EffectOf, EffectType} from '../types/effects.js';
import type {Event} from '../types/events.js';
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
/** Is in the zone of another host, which is therefore the steward of its slots. */
const target = listedHostSchema.parse({
	hostId: 'runner', role: 'runner', availabilityZone: 'b', address: '127.0.0.1:2', service, state: 'live',
});

/** One entry host whose fake peers answer only when a test calls `answerAsk` or `answerClaim`. */
export class HostWithFakePeers {
	static create(): HostWithFakePeers {
		return new HostWithFakePeers();
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

		this.pushHeartbeats();
		this.effects.length = 0;
	}

	get at(): Instant {
		return this.now as Instant;
	}

	/** Delivers a hello and a heartbeat of both peers. */
	pushHeartbeats(): void {
		for (const {hostId} of [steward, voter]) {
			this.pushMessage(hostId, {
				type: 'hello', hostId, incarnation: `${hostId}-i` as Incarnation, protocolVersion: 1,
			});
			this.pushMessage(hostId, {
				type: 'heartbeat', hostId, incarnation: `${hostId}-i` as Incarnation, sentAt: this.at, nextOffset: 0 as Offset, digest: '',
			});
		}
	}

	push(event: Event): void {
		this.effects.push(...reduce(this.state, event));
	}

	pushMessage(peer: HostId, message: PeerMessage): void {
		this.push({
			type: 'peer/message', at: this.at, peer, message,
		});
	}

	pushRequest(callerKey = 'call-1' as CallerKey, deadlineMs = 2000): void {
		this.push({
			type: 'request/arrived',
			at: this.at,
			request: {
				callerKey,
				requestId: 'request-1' as RequestId,
				service,
				team: 'tartu' as TeamId,
				workClass: 'quick',
				isIdempotent: false,
				arrivedAt: this.at,
				deadline: (this.now + deadlineMs) as Instant,
			},
		});
	}

	/** Advances the clock and delivers a tick. `arePeersAlive`: the peers send heartbeats first. */
	advance(milliseconds: number, arePeersAlive = true): void {
		this.now += milliseconds;
		if (arePeersAlive) {
			this.pushHeartbeats();
		}

		this.push({type: 'clock/ticked', at: this.at});
	}

	list<Type extends EffectType>(type: Type): Array<EffectOf<Type>> {
		return this.effects.filter(effect => effect.type === type) as Array<EffectOf<Type>>;
	}

	listSent<Type extends PeerMessage['type']>(type: Type): Array<Extract<PeerMessage, {type: Type}>> {
		return this.list('peer/send').map(({message}) => message).filter(message => message.type === type) as Array<Extract<PeerMessage, {type: Type}>>;
	}

	/** Answers the latest ask, if there is one, as its steward. */
	answerAsk(isGranted: boolean): void {
		const ask = this.listSent('slot-ask').at(-1)?.ask;
		if (ask && !isGranted) {
			this.refusedAsks.push(ask.askId);
		}

		if (ask) {
			this.pushMessage(steward.hostId, isGranted
				? {type: 'slot-grant', askId: ask.askId, target: target.hostId}
				: {
					type: 'slot-refuse', askId: ask.askId, kind: 'queue-full', comeBackAt: this.at,
				});
		}
	}

	/** Answers the latest claim as both peers. `taken`: another host has dispatched a request with this id. */
	answerClaim(verdict: 'granted' | 'taken'): void {
		const ask = this.listSent('claim-ask').at(-1);
		for (const {hostId} of ask ? [steward, voter] : []) {
			this.pushMessage(hostId, {
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

	/** The ids of all asks that were neither released nor refused. */
	listUnreleasedAsks(): string[] {
		const released = new Set(this.listSent('slot-release').map(({askId}) => askId));
		return this.listSent('slot-ask').map(({ask}) => ask.askId).filter(askId => !released.has(askId) && !this.refusedAsks.includes(askId));
	}
}
