/** Tests of the event loop: order, events raised by effects, exceptions in a handler, and replay of a recorded run. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {logRecordSchema} from '../types/records.js';
import type {Effect} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {
	AvailabilityZone, CallerKey, HostId, Incarnation, RequestId, ServiceId, TeamId,
} from '../types/ids.js';
import {listedHostSchema} from '../types/hosts.js';
import type {State} from '../types/state.js';
import type {Instant, Offset} from '../types/time.js';
import {EventLoop} from './event-loop.js';
import {createState} from './reduce.js';

const service = 'routes' as ServiceId;

function createHost(): State {
	return createState({
		self: {hostId: 'entry-1' as HostId, availabilityZone: 'a' as AvailabilityZone, address: '127.0.0.1:1'},
		incarnation: 'incarnation-1' as Incarnation,
		peers: [],
		routingPolicy: 'least-outstanding',
		seed: 7,
	});
}

function createStartEvents(): Event[] {
	const bodies = [
		{schema: 'pool', body: {pool: 'trucks', minimumHealthyHosts: 0}},
		{
			schema: 'service',
			body: {
				service, pool: 'trucks', slotsPerRunner: 8, connectionsPerRunner: 64,
			},
		},
	];
	const records = bodies.map((body, index) => ({
		offset: index as Offset, at: 0 as Instant, record: logRecordSchema.parse({recordId: `r${index}`, version: 1, ...body}),
	}));
	const runner = listedHostSchema.parse({
		hostId: 'runner-1', role: 'runner', availabilityZone: 'a', address: '127.0.0.1:2', service, state: 'live',
	});
	return [
		{
			type: 'log/read', at: 1 as Instant, records, firstOffset: 0 as Offset, nextOffset: 2 as Offset,
		},
		{type: 'hosts/listed', at: 2 as Instant, hosts: [runner]},
	];
}

function createArrival(index: number, at: number): Event {
	return {
		type: 'request/arrived',
		at: at as Instant,
		request: {
			callerKey: `call-${index}` as CallerKey,
			requestId: `request-${index}` as RequestId,
			service,
			team: 'dispatch' as TeamId,
			workClass: 'quick',
			isIdempotent: true,
			arrivedAt: at as Instant,
			deadline: (at + 1000) as Instant,
		},
	};
}

/** Runs events through a new host; dispatched attempts are answered or fail depending on the number of effects so far. */
function recordRun(steps: readonly number[]): {events: Event[]; effects: Effect[]} {
	const events: Event[] = [];
	const effects: Effect[] = [];
	const loop = EventLoop.create(createHost(), effect => {
		effects.push(effect);
		if (effect.type === 'attempt/dispatch') {
			push(createAttemptEnd(effect, effects.length));
		}
	});
	function push(event: Event): void {
		events.push(event);
		loop.push(event);
	}

	for (const event of createStartEvents()) {
		push(event);
	}

	let at = 10;
	for (const [index, step] of steps.entries()) {
		at += step;
		push(step % 3 === 0 ? {type: 'clock/ticked', at: at as Instant} : createArrival(index, at));
	}

	return {events, effects};
}

function createAttemptEnd(effect: Extract<Effect, {type: 'attempt/dispatch'}>, turn: number): Event {
	const at = (effect.giveUpAt - 900) as Instant;
	return turn % 2 === 0
		? {
			type: 'attempt/answered', at, attemptId: effect.attemptId, status: 200,
		}
		: {
			type: 'attempt/failed',
			at,
			attemptId: effect.attemptId,
			fault: {kind: 'answer-lost', detail: 'reset'},
			wasSent: true,
			wasRefused: false,
			hasAnswerBegun: false,
		};
}

describe('the event loop', () => {
	it('produces the same effects when a recorded run is replayed', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 400}), {maxLength: 60}), steps => {
			const {events, effects} = recordRun(steps);
			const replayed: Effect[] = [];
			const loop = EventLoop.create(createHost(), effect => {
				replayed.push(effect);
			});
			for (const event of events) {
				loop.push(event);
			}

			expect(replayed).toEqual(effects);
		}), {seed: 11, numRuns: 60});
	});

	it('finishes an event\'s effects before it reduces an event that they raised', () => {
		const seenDuringStep: number[] = [];
		const loop = EventLoop.create(createHost(), () => {
			if (seenDuringStep.length === 0) {
				loop.push({type: 'clock/ticked', at: 5 as Instant});
				seenDuringStep.push(loop.state.now);
			}
		});
		loop.push(createArrival(1, 1));
		expect(seenDuringStep).toEqual([1]);
		expect(loop.state.now).toEqual(5 as Instant);
	});

	it('continues after an exception in a handler and reports it as a violated invariant', () => {
		const effects: Effect[] = [];
		const loop = EventLoop.create(createHost(), effect => {
			effects.push(effect);
		});
		const events: Event[] = [{type: 'hosts/listed', at: 1 as Instant, hosts: undefined as never}, {type: 'clock/ticked', at: 2 as Instant}];
		for (const event of events) {
			loop.push(event);
		}

		expect(effects[0]?.type).toEqual('invariant/violated');
		expect(loop.state.now).toEqual(2 as Instant);
	});
});
