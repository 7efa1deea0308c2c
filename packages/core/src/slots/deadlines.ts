/** Whether asks still have time, by observed run times. */
import {workClasses} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {countBefore, listLanes} from './ask-lanes.js';
import {estimateWaitMs} from './ask-queue.js';
import type {SlotsInUse} from './capacity.js';
import type {SlotAsk} from './messages.js';
import {estimateLongRunMs} from './run-times.js';
import type {QueuedAsk, StewardState} from './state.js';

/** Below one part in this many, slots count as idle. */
const idleParts = 2;

/** Whether an ask can be expected to wait and run before its deadline. */
export function canMeetDeadline(state: State, steward: StewardState, ask: SlotAsk, inUse: SlotsInUse): boolean {
	const runMs = estimateLongRunMs(state.slots, ask.service, ask.workClass);
	const waitMs = inUse.slots === 0 ? 0 : estimateWaitMs(state, steward, ask, inUse);
	return isTrialRun(ask, inUse) || state.now + waitMs + runMs <= ask.deadline;
}

/** The queued asks for which a long run would end too late. */
export function listInfeasibleAsks(state: State, steward: StewardState, inUse: SlotsInUse): QueuedAsk[] {
	return workClasses.flatMap(workClass => {
		const earliestEnd = addMilliseconds(state.now, estimateLongRunMs(state.slots, steward.service, workClass));
		return [...listLanes(steward.queue, workClass).values()]
			.flatMap(lane => lane.slice(0, countBefore(lane, earliestEnd)))
			.filter(({ask}) => ask.deadline <= state.now || !isTrialRun(ask, inUse));
	});
}

/** An idle slot costs nothing, and a run on it shows whether run times are still so long; without such runs all would be refused for good. */
function isTrialRun(ask: SlotAsk, {total, slots}: SlotsInUse): boolean {
	return ask.isIdempotent && total * idleParts < slots;
}
