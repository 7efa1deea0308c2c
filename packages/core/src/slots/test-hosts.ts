/** Complete entry hosts for tests: runs their reducers and delivers the messages between them. */
import {createState, reduce} from '../engine/reduce.js';
import {applyRecord} from '../fleet/apply-record.js';
import type {Effect, EffectOf} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {ListedHost} from '../types/hosts.js';
import type {
	AvailabilityZone, CallerKey, HostId, Incarnation, RecordId, RequestId, ServiceId, TeamId,
} from '../types/ids.js';
import type {EntryHost} from '../types/peers.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';

const service = 'routes' as ServiceId;
const zone = 'ee-south-a' as AvailabilityZone;
const start = 1_000_000;
const startupMs = 500;

export type AttemptOutcome = {readonly end: 'answered' | 'refused' | 'unsent' | 'lost'; readonly afterMs: number};

/** Adds the entry hosts to the members, so that they vote on the claims of non-idempotent requests. */
function addMembers(state: State, hosts: readonly EntryHost[]): void {
	for (const [index, {hostId, availabilityZone}] of hosts.entries()) {
		applyRecord(state.fleet, {
			offset: index as Offset,
			at: start as Instant,
			record: {
				recordId: `${hostId}-joined` as RecordId,
				schema: 'entry-host-joined',
				version: 1,
				body: {hostId, incarnation: `${hostId}-i`, availabilityZone},
			},
		});
	}
}

/** Entry hosts in one zone that share targets. Messages arrive at once; `advance` moves the clock. */
export class TestHosts {
	static create(count: number, targetCount: number, slotsPerRunner: number): TestHosts {
		return new TestHosts(count, targetCount, slotsPerRunner);
	}

	now = start;
	readonly states = new Map<HostId, State>();
	readonly refusals: Array<EffectOf<'caller/refuse'>> = [];
	readonly violations: Array<EffectOf<'invariant/violated'>> = [];
	readonly dispatches: Array<EffectOf<'attempt/dispatch'> & {readonly from: HostId}> = [];
	private requestCount = 0;

	private constructor(count: number, targetCount: number, slotsPerRunner: number) {
		const all = Array.from({length: count}, (_, index) => ({
			hostId: `entry-${index + 1}` as HostId, availabilityZone: zone, address: `127.0.0.1:${index + 1}`,
		}));
		const targets = Array.from({length: targetCount}, (_, index): ListedHost => ({
			hostId: `runner-${index + 1}` as HostId, role: 'runner', availabilityZone: zone, address: `127.0.0.2:${index + 1}`, service, state: 'live',
		}));
		for (const self of all) {
			const state = createState({
				self, incarnation: `${self.hostId}-i` as Incarnation, peers: all.filter(host => host !== self), routingPolicy: 'steward', seed: 1,
			});
			state.fleet.services.set(service, {
				offset: 0 as Offset, body: {
					service, pool: 'trucks' as never, slotsPerRunner, connectionsPerRunner: 640,
				},
			});
			addMembers(state, all);
			this.states.set(self.hostId, state);
		}

		for (const hostId of this.states.keys()) {
			this.push(hostId, {type: 'hosts/listed', at: this.at, hosts: targets});
			for (const peer of this.states.keys()) {
				if (peer !== hostId) {
					this.push(hostId, {type: 'peer/linked', at: this.at, peer});
				}
			}
		}

		this.advance(startupMs);
	}

	get at(): Instant {
		return this.now as Instant;
	}

	push(hostId: HostId, event: Event): void {
		const state = this.states.get(hostId);
		for (const effect of state ? reduce(state, event) : []) {
			this.handleEffect(hostId, effect);
		}
	}

	advance(milliseconds: number): void {
		for (let passed = 0; passed < milliseconds; passed += 50) {
			this.now += 50;
			for (const hostId of this.states.keys()) {
				this.push(hostId, {type: 'clock/ticked', at: this.at});
			}
		}
	}

	pushRequest(hostId: string, request: Partial<CallerRequest> = {}): CallerKey {
		this.requestCount += 1;
		const callerKey = `caller-${this.requestCount}` as CallerKey;
		this.push(hostId as HostId, {
			type: 'request/arrived',
			at: this.at,
			request: {
				callerKey,
				requestId: `request-${this.requestCount}` as RequestId,
				service,
				team: 'tartu' as TeamId,
				workClass: 'quick',
				isIdempotent: false,
				arrivedAt: this.at,
				deadline: (this.now + 60_000) as Instant,
				...request,
			},
		});
		return callerKey;
	}

	/** Ends the oldest running attempt. */
	endAttempt(outcome: AttemptOutcome): void {
		const dispatch = this.dispatches.shift();
		if (!dispatch) {
			return;
		}

		this.now += outcome.afterMs;
		const {attemptId} = dispatch;
		this.push(dispatch.from, outcome.end === 'answered'
			? {
				type: 'attempt/answered', at: this.at, attemptId, status: 200,
			}
			: {
				type: 'attempt/failed',
				at: this.at,
				attemptId,
				fault: {kind: {refused: 'target-busy', unsent: 'no-target', lost: 'answer-lost'}[outcome.end] as 'no-target', detail: ''},
				wasSent: outcome.end !== 'unsent',
				wasRefused: outcome.end === 'refused',
				hasAnswerBegun: false,
			});
	}

	listRunning(): string[] {
		return this.dispatches.map(dispatch => dispatch.callerKey);
	}

	private handleEffect(from: HostId, effect: Effect): void {
		if (effect.type === 'peer/send') {
			this.push(effect.peer, {
				type: 'peer/message', at: this.at, peer: from, message: effect.message,
			});
		}

		if (effect.type === 'attempt/dispatch') {
			this.dispatches.push({...effect, from});
		}

		if (effect.type === 'caller/refuse') {
			this.refusals.push(effect);
		}

		if (effect.type === 'invariant/violated') {
			this.violations.push(effect);
		}
	}
}
