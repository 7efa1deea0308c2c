/** Accepts requests: refuses at once those that cannot be run, and asks for a slot for the rest. */
import {claimRequest, isClaimPending, releaseClaim} from '../claims/claims.js';
import type {Effect} from '../types/effects.js';
import type {FaultKind} from '../types/faults.js';
import type {HandlerTable} from '../types/handlers.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {requestSlotEarly, releaseEarlySlots, tickEarlyGrants} from './early-slots.js';
import type {RequestEvent} from './events.js';
import {tickKeptSlots} from './kept-slots.js';
import {refuseRequest} from './refusals.js';
import {requestSlot, tickAsks, cancelAsks} from './slot-asks.js';
import type {OpenRequest} from './state.js';

/** Limit on the open requests of all services at this host. The queues at the stewards have limits of their own. */
const maxOpenRequests = 8192;
/** Gives the load balancer time to see that this host is not ready. */
const minShutdownMs = 1500;
/** Requests that still wait for a slot after this time are refused. */
const shutdownQueueMs = 3000;

export const requestHandlers: HandlerTable<RequestEvent['type']> = {
	'request/arrived'(state, event) {
		const open = createOpenRequest(event.request);
		const refusal = checkRequest(state, event.request);
		if (refusal) {
			return refuseRequest(state, open, refusal, `${event.request.service}: not taken on`);
		}

		state.requests.open.set(event.request.callerKey, open);
		return event.request.isIdempotent
			? requestSlot(state, open)
			: [...claimRequest(state, event.request), ...requestSlotEarly(state, open)];
	},
	'caller/gone'(state, event) {
		const open = state.requests.open.get(event.callerKey);
		if (!open) {
			return [];
		}

		state.requests.open.delete(event.callerKey);
		return [
			...releaseEarlySlots(state, open),
			...open.attemptCount === 0 ? releaseClaim(state, open.request) : [],
		];
	},
};

/** Releases slots kept for too long, refuses requests whose deadline passed while they waited, and updates the asks of the rest. */
export function tickRequests(state: State): Effect[] {
	return [...tickKeptSlots(state), ...tickEarlyGrants(state), ...refuseExpired(state), ...tickAsks(state)];
}

/** Starts a graceful shutdown. */
export function startShutdown(state: State): Effect[] {
	state.requests.shutdown ??= {
		exitAt: addMilliseconds(state.now, minShutdownMs), refuseAt: addMilliseconds(state.now, shutdownQueueMs),
	};
	state.slots.nextGossipAt = state.now;
	return [{type: 'callers/drain'}];
}

/** Continues a graceful shutdown: refuses requests that wait too long, and exits once no request, attempt or publisher is open. */
export function tickShutdown(state: State): Effect[] {
	const {shutdown, open, attempts, publishers} = state.requests;
	if (!shutdown) {
		return [];
	}

	const waiting = shutdown.refuseAt > state.now ? [] : [...open.values()].filter(request => isRefusable(state, request));
	const refusals = waiting.flatMap(request => [
		...cancelAsks(state, request),
		...refuseRequest(state, request, 'shutting-down', 'this entry host is stopping'),
	]);
	const isDone = shutdown.exitAt <= state.now && open.size === 0 && attempts.size === 0 && publishers.size === 0;
	return isDone ? [...refusals, {type: 'process/exit'}] : refusals;
}

function checkRequest(state: State, request: CallerRequest): FaultKind | undefined {
	if (state.isStopping) {
		return 'shutting-down';
	}

	if (!state.fleet.services.has(request.service)) {
		return 'unknown-service';
	}

	if (request.deadline <= state.now) {
		return 'deadline-unreachable';
	}

	return state.requests.open.size >= maxOpenRequests ? 'queue-full' : undefined;
}

function createOpenRequest(request: CallerRequest): OpenRequest {
	return {
		request,
		asks: new Map(),
		early: undefined,
		askedZones: new Set(),
		nextZoneAt: request.arrivedAt,
		attemptCount: 0,
		avoid: [],
		unknownOutcome: undefined,
	};
}

function refuseExpired(state: State): Effect[] {
	return [...state.requests.open.values()]
		.filter(open => open.request.deadline <= state.now && isRefusable(state, open))
		.flatMap(open => [
			...cancelAsks(state, open),
			...refuseRequest(state, open, 'deadline-unreachable', 'the deadline passed while it waited'),
		]);
}

/** Whether a request waits for a slot and has its claim, if it needs one: without the claim it is unknown whether a request with the same id has run. */
function isRefusable(state: State, {asks, request}: OpenRequest): boolean {
	return asks.size > 0 && !isClaimPending(state, request);
}
