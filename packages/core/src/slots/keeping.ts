/** The steward's side of kept slots: lets holders keep slots while many are free, and recalls them when an ask has to wait. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {SlotUsage} from './capacity.js';
import type {StewardState} from './state.js';

/** Holders may keep slots while at most one in this many slots is in use. */
const keepableParts = 2;

/** Whether a holder may keep a slot when its request ends; `usage` includes the slot. The steward itself keeps none: its own asks need no round trip. */
export function isKeepable(state: State, steward: StewardState, holder: HostId, usage: SlotUsage): boolean {
	return holder !== state.settings.self.hostId && steward.queue.byId.size === 0 && usage.used * keepableParts <= usage.capacity;
}

/** Recalls the slots that holders may keep, if an ask waits. A lost recall is sent again after the slot's next use, if an ask waits then. */
export function sendSlotRecalls(steward: StewardState): Effect[] {
	if (steward.queue.byId.size === 0) {
		return [];
	}

	const effects: Effect[] = [];
	for (const grant of steward.grants.values()) {
		if (grant.mayBeKept) {
			grant.mayBeKept = false;
			effects.push({type: 'peer/send', peer: grant.holder, message: {type: 'slot-recall', askId: grant.ask.askId}});
		}
	}

	return effects;
}
