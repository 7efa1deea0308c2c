/** The steward's side of slots: handles asks, releases and reports, and serves its queue after each. */
import {createSend} from '../membership/send.js';
import type {Effect} from '../types/effects.js';
import type {AskId, HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {recordAttemptResult} from '../targets/health.js';
import {everyZone, getRoutingPolicy, listTargets} from '../requests/routing-policies.js';
import {
	addAsk, countAsksOfTeam, createAskLanes, removeAsk,
} from './ask-lanes.js';
import {expireTeamTags} from './ask-queue.js';
import {
	countSlotsInUse, hasUsableTargetElsewhere,
} from './capacity.js';
import {canMeetDeadline} from './deadlines.js';
import {listLiveEntryHosts} from './entry-hosts.js';
import type {RefusalKind, SlotAsk, SlotMessageOf} from './messages.js';
import {refuseAsk, grantOrRefuse} from './granting.js';
import {expireLeases, removeUnreported, slotLeaseMs} from './leases.js';
import {estimateRunMs, expireRunTimes, recordRunTime} from './run-times.js';
import {
	getScopeKey, type Grant, type StewardState,
} from './state.js';

const recoveryMs = 400;
const maxStillRunningMs = 2000;
const asksPerSlot = 64;
const maxTeamShareOfQueue = 0.75;

/** Queues an ask, refuses it at once, or grants it. */
export function acceptAsk(state: State, holder: HostId, ask: SlotAsk): Effect[] {
	const steward = getSteward(state, ask);
	if (steward.queue.byId.has(ask.askId) || steward.grants.has(ask.askId)) {
		return [];
	}

	const refusal = checkAsk(state, steward, ask);
	if (refusal) {
		return [refuseAsk(state, steward, {ask, holder}, refusal)];
	}

	addToQueue(state, steward, holder, ask);
	return grantOrRefuse(state, steward);
}

/** Handles the release of a slot or the withdrawal of a queued ask. */
export function acceptRelease(state: State, holder: HostId, message: SlotMessageOf<'slot-release'>): Effect[] {
	const steward = getSteward(state, message);
	removeAsk(steward.queue, message.askId);
	const grant = steward.grants.get(message.askId);
	if (!grant || grant.mayStillRun) {
		return grantOrRefuse(state, steward);
	}

	if (message.isKept) {
		grant.mayBeKept = true;
	} else {
		endGrant(state, steward, grant, message.end);
	}

	const target = state.targets.targets.get(grant.target);
	if (target) {
		const others = listTargets(state, steward.service, steward.availabilityZone)
			.filter(other => other !== target && other.quarantinedUntil <= state.now);
		const startedAt = addMilliseconds(state.now, -message.runMs);
		recordAttemptResult(state, target, {end: message.end, startedAt}, others.length > 0 || hasUsableTargetElsewhere(state, steward));
	}

	if (message.end === 'answered' && holder !== state.settings.self.hostId) {
		recordRunTime(state, message.service, grant.ask.workClass, message.runMs);
	}

	return grantOrRefuse(state, steward);
}

/** Renews a holder's leases and corrects differences that lost messages have caused. */
export function acceptReport(state: State, holder: HostId, message: SlotMessageOf<'slot-report'>): Effect[] {
	const steward = getSteward(state, message);
	const effects: Effect[] = [];
	const heldIds = new Set<AskId>();
	for (const {ask, target} of message.held) {
		heldIds.add(ask.askId);
		removeAsk(steward.queue, ask.askId);
		steward.grants.set(ask.askId, {
			ask, holder, target, leaseUntil: addMilliseconds(state.now, slotLeaseMs), mayStillRun: false, mayBeKept: steward.grants.get(ask.askId)?.mayBeKept ?? true,
		});
	}

	const queuedIds = new Set<AskId>(message.queued.map(ask => ask.askId));
	removeUnreported(steward, holder, heldIds, queuedIds);
	steward.awaitedHosts.delete(holder);
	for (const ask of message.queued) {
		effects.push(...acceptReportedAsk(state, steward, holder, ask));
	}

	return [...effects, ...grantOrRefuse(state, steward)];
}

/** Drops expired leases, refuses asks that can no longer meet their deadline, and grants free slots. */
export function tickStewards(state: State): Effect[] {
	expireRunTimes(state.slots, state.now);
	return [...state.slots.stewards.values()].flatMap(scope => {
		const steward = getSteward(state, scope);
		expireLeases(steward, state.now);
		expireTeamTags(steward);
		return grantOrRefuse(state, steward);
	});
}

function getSteward(state: State, scope: Pick<SlotAsk, 'service' | 'availabilityZone'>): StewardState {
	const key = getScopeKey(scope.service, scope.availabilityZone);
	const steward = state.slots.stewards.get(key) ?? createSteward(scope);
	state.slots.stewards.set(key, steward);
	const isChosen = getRoutingPolicy(state).chooseSteward(state, scope.service, scope.availabilityZone) === state.settings.self.hostId;
	if (isChosen && !steward.isChosen) {
		startRecovery(state, steward);
	}

	steward.isChosen = isChosen;
	return steward;
}

/** A host that has become the steward waits for reports of the slots in use before it grants any. */
function startRecovery(state: State, steward: StewardState): void {
	if (steward.availabilityZone === everyZone) {
		return;
	}

	steward.recoverUntil = addMilliseconds(state.now, recoveryMs);
	for (const {hostId} of [...listLiveEntryHosts(state), state.settings.self]) {
		steward.awaitedHosts.add(hostId);
	}
}

function createSteward(scope: Pick<SlotAsk, 'service' | 'availabilityZone'>): StewardState {
	return {
		service: scope.service,
		availabilityZone: scope.availabilityZone,
		queue: createAskLanes(),
		grants: new Map(),
		teamTags: new Map(),
		virtualTime: 0,
		isChosen: false,
		awaitedHosts: new Set(),
		recoverUntil: 0 as Instant,
	};
}

function checkAsk(state: State, steward: StewardState, ask: SlotAsk): RefusalKind | undefined {
	const usage = countSlotsInUse(state, steward);
	if (listTargets(state, steward.service, steward.availabilityZone).every(({listed}) =>
		listed.state === 'leaving' || state.targets.leaving.has(listed.hostId))) {
		return 'no-target';
	}

	const limit = Math.max(1, usage.capacity) * asksPerSlot;
	if (steward.queue.byId.size >= limit) {
		return 'queue-full';
	}

	if (countAsksOfTeam(steward.queue, ask.team) >= limit * maxTeamShareOfQueue) {
		return 'team-over-quota';
	}

	return canMeetDeadline(state, steward, ask, usage) ? undefined : 'deadline-unreachable';
}

function addToQueue(state: State, steward: StewardState, holder: HostId, ask: SlotAsk): void {
	addAsk(steward.queue, {
		ask, holder, arrivedAt: state.now, leaseUntil: addMilliseconds(state.now, slotLeaseMs),
	});
}

function acceptReportedAsk(state: State, steward: StewardState, holder: HostId, ask: SlotAsk): Effect[] {
	const grant = steward.grants.get(ask.askId);
	if (grant) {
		grant.leaseUntil = addMilliseconds(state.now, slotLeaseMs);
		return [createSend(holder, {
			type: 'slot-grant', askId: ask.askId, target: grant.target, mayKeep: grant.mayBeKept,
		})];
	}

	const queued = steward.queue.byId.get(ask.askId);
	if (queued) {
		queued.leaseUntil = addMilliseconds(state.now, slotLeaseMs);
		return [];
	}

	return acceptAsk(state, holder, ask);
}

function endGrant(state: State, steward: StewardState, grant: Grant, end: SlotMessageOf<'slot-release'>['end']): void {
	if (end !== 'lost') {
		steward.grants.delete(grant.ask.askId);
		return;
	}

	const runMs = estimateRunMs(state.slots, grant.ask.service, grant.ask.workClass);
	grant.mayStillRun = true;
	grant.leaseUntil = addMilliseconds(state.now, Math.min(maxStillRunningMs, runMs));
}
