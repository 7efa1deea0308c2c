/** Serves a steward's queue: grants free slots in order and refuses asks that cannot meet their deadline. */
import {createSend} from '../membership/send.js';
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {removeAsk} from './ask-lanes.js';
import {estimateWaitMs, listNextAsks, updateTeamTag} from './ask-queue.js';
import {
	countSlotsInUse, countSlotsPerTarget, hasConnectionLeft, listFreeTargets,
} from './capacity.js';
import {drawRetryAt} from './retry-at.js';
import {listInfeasibleAsks} from './deadlines.js';
import {isKeepable, sendSlotRecalls} from './keeping.js';
import {slotLeaseMs} from './leases.js';
import type {RefusalKind} from './messages.js';
import type {Grant, QueuedAsk, StewardState} from './state.js';

/** Refuses asks that can no longer meet their deadline, and grants free slots once it is known which slots are in use. */
export function grantOrRefuse(state: State, steward: StewardState): Effect[] {
	const effects = refuseInfeasibleAsks(state, steward);
	return isRecovered(state, steward) ? [...effects, ...grantSlots(state, steward)] : effects;
}

/** Creates the refusal of an ask, with the time to retry. */
export function refuseAsk(state: State, steward: StewardState, {ask, holder}: Pick<QueuedAsk, 'ask' | 'holder'>, kind: RefusalKind): Effect {
	const waitMs = estimateWaitMs(state, steward, ask, countSlotsInUse(state, steward));
	return createSend(holder, {
		type: 'slot-refuse', askId: ask.askId, kind, comeBackAt: drawRetryAt(state, waitMs),
	});
}

function refuseInfeasibleAsks(state: State, steward: StewardState): Effect[] {
	if (steward.queue.byId.size === 0) {
		return [];
	}

	return listInfeasibleAsks(state, steward, countSlotsInUse(state, steward)).map(queued => {
		removeAsk(steward.queue, queued.ask.askId);
		return refuseAsk(state, steward, queued, 'deadline-unreachable');
	});
}

function grantSlots(state: State, steward: StewardState): Effect[] {
	if (steward.queue.byId.size === 0) {
		return [];
	}

	const effects: Effect[] = [];
	for (let granted = grantOne(state, steward); granted; granted = grantOne(state, steward)) {
		effects.push(...granted);
	}

	effects.push(...sendSlotRecalls(steward));
	return effects;
}

function isRecovered(state: State, steward: StewardState): boolean {
	return steward.awaitedHosts.size === 0 || steward.recoverUntil <= state.now;
}

function grantOne(state: State, steward: StewardState): Effect[] | undefined {
	const usage = countSlotsInUse(state, steward);
	const free = listFreeTargets(state, steward, usage);
	if (free.length === 0) {
		return undefined;
	}

	for (const queued of listNextAsks(steward, usage)) {
		const {ask, holder} = queued;
		const connectable = free.filter(({target}) => hasConnectionLeft(state, steward, holder, target.listed.hostId));
		const target = (connectable.find(candidate => !ask.avoid.includes(candidate.target.listed.hostId)) ?? connectable[0])?.target;
		if (!target) {
			continue;
		}

		removeAsk(steward.queue, ask.askId);
		const grant: Grant = {
			ask, holder, target: target.listed.hostId, leaseUntil: addMilliseconds(state.now, slotLeaseMs), mayStillRun: false, mayBeKept: false,
		};
		steward.grants.set(ask.askId, grant);
		grant.mayBeKept = isKeepable(state, steward, holder, countSlotsInUse(state, steward));
		state.slots.grantCount += 1;
		target.lastGrant = state.slots.grantCount;
		updateTeamTag(state, steward, ask);
		return [
			...checkGrantInvariant(state, steward, target.listed.hostId),
			createSend(holder, {
				type: 'slot-grant', askId: ask.askId, target: target.listed.hostId, mayKeep: grant.mayBeKept,
			}),
		];
	}

	return undefined;
}

/** Invariant: the grants on a target never exceed its number of slots, as far as this steward knows. */
function checkGrantInvariant(state: State, steward: StewardState, target: HostId): Effect[] {
	const inUse = countSlotsInUse(state, steward).byTarget.get(target) ?? 0;
	const slots = countSlotsPerTarget(state, steward);
	return inUse <= slots
		? []
		: [{
			type: 'invariant/violated', name: 'grants-within-slots', detail: `${inUse} grants on ${target} of ${slots} slots`,
		}];
}
