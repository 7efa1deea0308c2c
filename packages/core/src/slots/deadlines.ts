/** Checks by observed run times whether asks can still meet their deadlines. */
import {workClasses} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {countBefore, listLanes} from './ask-lanes.js';
import {estimateWaitMs} from './ask-queue.js';
import type {SlotUsage} from './capacity.js';
import type {SlotAsk} from './messages.js';
import {estimateLongRunMs} from './run-times.js';
import type {QueuedAsk, StewardState} from './state.js';

/** A queue counts as idle while fewer than one in this many of its slots are in use. */
const idleParts = 2;

/** Whether an ask is expected to be granted and to run before its deadline. */
export function canMeetDeadline(state: State, steward: StewardState, ask: SlotAsk, usage: SlotUsage): boolean {
	const runMs = estimateLongRunMs(state.slots, ask.service, ask.workClass);
	const waitMs = usage.capacity === 0 ? 0 : estimateWaitMs(state, steward, ask, usage);
	return isTrialRun(ask, usage) || state.now + waitMs + runMs <= ask.deadline;
}

/** The queued asks whose deadline has passed, or would pass during a long run that starts now and is no trial run. */
export function listInfeasibleAsks(state: State, steward: StewardState, usage: SlotUsage): QueuedAsk[] {
	return workClasses.flatMap(workClass => {
		const earliestEnd = addMilliseconds(state.now, estimateLongRunMs(state.slots, steward.service, workClass));
		return [...listLanes(steward.queue, workClass).values()]
			.flatMap(lane => lane.slice(0, countBefore(lane, earliestEnd)))
			.filter(({ask}) => ask.deadline <= state.now || !isTrialRun(ask, usage));
	});
}

/**
 * An idle queue runs idempotent asks despite long observed run times. An idle slot costs nothing, and the trial run shows
 * whether run times are still long; without trial runs all asks would be refused forever.
 */
function isTrialRun(ask: SlotAsk, {used, capacity}: SlotUsage): boolean {
	return ask.isIdempotent && used * idleParts < capacity;
}
