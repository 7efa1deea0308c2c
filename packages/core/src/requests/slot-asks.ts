/** The requesting side of slots: asks the steward of one zone, later that of another, and uses the first grant. */
import {isClaimPending} from '../claims/claims.js';
import {createSend} from '../membership/send.js';
import type {SlotAsk, SlotMessageOf} from '../slots/messages.js';
import {recordRunTime} from '../slots/run-times.js';
import {getScopeKey} from '../slots/state.js';
import {isLeaving} from '../targets/leaving.js';
import type {Effect} from '../types/effects.js';
import type {
	AskId, AvailabilityZone, HostId, ServiceId,
} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {dispatchAttempt} from './attempts.js';
import {keepEarlyGrant} from './early-slots.js';
import {takeKeptSlot} from './kept-slots.js';
import {endRequest, getFinalFault, refuseRequest} from './refusals.js';
import {getRoutingPolicy} from './routing-policies.js';
import type {HeldGrant, OpenRequest, SentAsk} from './state.js';

/** A request that waits longer also asks another zone. */
const secondZoneAfterMs = 25;

/** Uses a kept slot for a request, or asks for one in the zone with the shortest expected wait. */
export function requestSlot(state: State, open: OpenRequest): Effect[] {
	const kept = takeKeptSlot(state, open);
	return kept ? takeGrant(state, open, kept) : requestBestZone(state, open);
}

function requestBestZone(state: State, open: OpenRequest): Effect[] {
	open.askedZones.clear();
	const zone = listZonesByWait(state, open)[0];
	if (zone) {
		return requestZone(state, open, zone);
	}

	return isClaimPending(state, open.request)
		? []
		: refuseRequest(state, open, 'no-target', `no target of ${open.request.service} is known here`);
}

/** Uses a granted slot. Ignores a repeated grant, and one whose ask was withdrawn: withdrawing has already released the slot. */
export function acceptGrant(state: State, steward: HostId, message: SlotMessageOf<'slot-grant'>): Effect[] {
	if (state.requests.grants.has(message.askId)) {
		return [];
	}

	const open = findOpenRequest(state, message.askId);
	const sent = open?.asks.get(message.askId);
	if (!open || !sent) {
		return [];
	}

	const grant: HeldGrant = {
		ask: sent.ask, steward, target: message.target, mayKeep: message.mayKeep ?? false,
	};
	removeAsk(state, open, message.askId);
	state.requests.grants.set(message.askId, grant);
	return takeGrant(state, open, grant);
}

function takeGrant(state: State, open: OpenRequest, grant: HeldGrant): Effect[] {
	return isClaimPending(state, open.request)
		? keepEarlyGrant(state, open, grant)
		: dispatchGranted(state, open, grant);
}

/** Dispatches a request to its granted target, or asks again if that target is unknown or leaving. */
export function dispatchGranted(state: State, open: OpenRequest, grant: HeldGrant): Effect[] {
	const target = state.targets.targets.get(grant.target);
	if (!target || isLeaving(state, grant.target)) {
		open.avoid.push(grant.target);
		return [
			...releaseSlot(state, grant, 'withdrawn', 0),
			...(open.asks.size === 0 ? requestSlot(state, open) : []),
		];
	}

	return [
		...cancelAsks(state, open),
		...dispatchAttempt(state, open, grant, target),
	];
}

/** Handles a refused ask: asks another zone, or answers the caller once no zone is left, but not before the claim is decided. */
export function acceptRefusal(state: State, _steward: HostId, message: SlotMessageOf<'slot-refuse'>): Effect[] {
	const open = findOpenRequest(state, message.askId);
	if (!open) {
		return [];
	}

	removeAsk(state, open, message.askId);
	if (open.asks.size > 0) {
		return [];
	}

	const zone = listZonesByWait(state, open)[0];
	if (zone) {
		return requestZone(state, open, zone);
	}

	return isClaimPending(state, open.request)
		? []
		: endRequest(state, open, getFinalFault(open, {kind: message.kind, detail: `the queue of ${open.request.service} refused it`}), message.comeBackAt);
}

/** Withdraws all asks of a request. */
export function cancelAsks(state: State, open: OpenRequest): Effect[] {
	const effects = [...open.asks.values()].map(sent => createRelease(sent, 'withdrawn', 0));
	for (const askId of open.asks.keys()) {
		removeAsk(state, open, askId);
	}

	return effects;
}

/** Releases a slot. Unit of `runMs`: milliseconds. */
export function releaseSlot(state: State, grant: HeldGrant, end: SlotMessageOf<'slot-release'>['end'], runMs: number): Effect[] {
	state.requests.grants.delete(grant.ask.askId);
	if (end === 'answered') {
		recordRunTime(state, grant.ask.service, grant.ask.workClass, runMs);
	}

	return [createRelease(grant, end, runMs)];
}

/** Asks a second zone for requests that wait long, and repeats an ask where the steward has changed. */
export function tickAsks(state: State): Effect[] {
	const stewards = new Map<string, HostId>();
	return [...state.requests.open.values()]
		.filter(open => open.asks.size > 0)
		.flatMap(open => [...updateStewards(state, open, stewards), ...requestSecondZone(state, open)]);
}

function requestSecondZone(state: State, open: OpenRequest): Effect[] {
	if (open.nextZoneAt > state.now) {
		return [];
	}

	const zone = listZonesByWait(state, open).find(candidate => hasFreeSlot(state, open.request.service, candidate));
	return zone ? requestZone(state, open, zone) : [];
}

function updateStewards(state: State, open: OpenRequest, stewards: Map<string, HostId>): Effect[] {
	return [...open.asks.values()].flatMap(sent => {
		const key = getScopeKey(sent.ask.service, sent.ask.availabilityZone);
		const steward = stewards.get(key) ?? getRoutingPolicy(state).chooseSteward(state, sent.ask.service, sent.ask.availabilityZone);
		stewards.set(key, steward);
		if (steward === sent.steward) {
			return [];
		}

		const release = createRelease(sent, 'withdrawn', 0);
		sent.steward = steward;
		return [release, createSend(steward, {type: 'slot-ask', ask: sent.ask})];
	});
}

function requestZone(state: State, open: OpenRequest, availabilityZone: AvailabilityZone): Effect[] {
	const {request} = open;
	state.requests.askCount += 1;
	const ask: SlotAsk = {
		askId: `${state.settings.incarnation}-${state.requests.askCount}` as AskId,
		service: request.service,
		availabilityZone,
		workClass: request.workClass,
		team: request.team,
		deadline: request.deadline,
		isIdempotent: request.isIdempotent,
		avoid: [...open.avoid],
	};
	const steward = getRoutingPolicy(state).chooseSteward(state, request.service, availabilityZone);
	open.asks.set(ask.askId, {ask, steward});
	open.askedZones.add(availabilityZone);
	open.nextZoneAt = addMilliseconds(state.now, secondZoneAfterMs);
	state.requests.callersByAsk.set(ask.askId, request.callerKey);
	return [createSend(steward, {type: 'slot-ask', ask})];
}

/** The zones not yet asked, the shortest expected wait first, with a penalty for zones other than this host's own. */
function listZonesByWait(state: State, open: OpenRequest): AvailabilityZone[] {
	const {service} = open.request;
	return getRoutingPolicy(state).listZones(state, service)
		.filter(zone => !open.askedZones.has(zone))
		.toSorted((a, b) => getZoneCost(state, service, a) - getZoneCost(state, service, b));
}

function getZoneCost(state: State, service: ServiceId, zone: AvailabilityZone): number {
	const load = findLoad(state, service, zone);
	const otherZonePenaltyMs = zone === state.settings.self.availabilityZone ? 0 : secondZoneAfterMs;
	const isUnusable = load?.usableTargets === 0;
	return (load?.waitMs ?? 0) + otherZonePenaltyMs + (isUnusable ? Number.MAX_SAFE_INTEGER / 2 : 0);
}

function hasFreeSlot(state: State, service: ServiceId, zone: AvailabilityZone): boolean {
	return (findLoad(state, service, zone)?.freeSlots ?? 0) > 0;
}

function findLoad(state: State, service: ServiceId, zone: AvailabilityZone) {
	const known = state.slots.knownLoads.get(getScopeKey(service, zone));
	return known && known.validUntil > state.now ? known.load : undefined;
}

function findOpenRequest(state: State, askId: AskId): OpenRequest | undefined {
	const callerKey = state.requests.callersByAsk.get(askId);
	return callerKey ? state.requests.open.get(callerKey) : undefined;
}

function removeAsk(state: State, open: OpenRequest, askId: AskId): void {
	open.asks.delete(askId);
	state.requests.callersByAsk.delete(askId);
}

/** Creates the message that releases a slot or withdraws an ask. `isKept`: the use has ended, but this host keeps the slot. */
export function createRelease(grant: SentAsk, end: SlotMessageOf<'slot-release'>['end'], runMs: number, isKept = false): Effect {
	return createSend(grant.steward, {
		type: 'slot-release',
		askId: grant.ask.askId,
		service: grant.ask.service,
		availabilityZone: grant.ask.availabilityZone,
		end,
		runMs,
		...isKept ? {isKept} : {},
	});
}
