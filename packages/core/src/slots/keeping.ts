/** The steward's side of kept slots: allows it while many slots are free, recalls them when an ask has to wait. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {SlotsInUse} from './capacity.js';
import type {StewardState} from './state.js';

/** One part in this many of the slots may be kept by holders. */
const keepableParts = 2;

/** Whether a slot may stay with its holder when the request ends; `inUse` counts it already. Without another host in between there is nothing to save. */
export function isKeepable(state: State, steward: StewardState, holder: HostId, inUse: SlotsInUse): boolean {
	return holder !== state.settings.self.hostId && steward.queue.byId.size === 0 && inUse.total * keepableParts <= inUse.slots;
}

/** Recalls the slots that holders may keep, if an ask waits. A lost message is sent again with the slot's next use. */
export function revokeKeptSlots(steward: StewardState): Effect[] {
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
