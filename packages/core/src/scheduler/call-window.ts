/**
 * Bounds the starts and the first polls of workers that have no answer yet. Each call takes a part of the leader's link
 * and processor: calls that the host cannot send in time would make the polls behind them late too, and with them the
 * leases of sound workers.
 */
import {never, promptAnswerMs} from './timing.js';
import type {SteadyMs} from './types.js';
import type {SchedulerState, Task} from './state.js';

/** The bound at first, and the least and the greatest one. */
const firstLimit = 32;
const minLimit = 16;
const maxLimit = 1024;
/** The bound changes by this factor. */
const limitFactor = 2;

/** The starts under way, the bound on them and on the first polls of workers, and what it is adapted to. */
export type CallWindow = {
	/** When each start was sent that has no answer yet, by task and run. */
	readonly unansweredStarts: Map<string, SteadyMs>;
	limit: number;
	/** Such calls since the bound was last looked at whose answers came in time, and those that came late or not at all. */
	timely: number;
	late: number;
	/** The bound has held calls back since its last change. */
	hasHeldBack: boolean;
	/** Stored placements whose starts are not sent yet. */
	waitingStarts: Array<{readonly task: Task; readonly run: number}>;
	/** Until then the waiting starts keep their order; those that join them meanwhile come last. */
	orderDueAt: SteadyMs;
	/** The bound holds first polls of workers back. */
	hasWaitingPolls: boolean;
	/** When the leader was last seen to keep up with the calls that it has to make. */
	keptUpAt: SteadyMs;
};

export function createCallWindow(): CallWindow {
	return {
		unansweredStarts: new Map(), limit: firstLimit, timely: 0, late: 0, hasHeldBack: false, waitingStarts: [], orderDueAt: 0, hasWaitingPolls: false, keptUpAt: 0,
	};
}

function formatKey(task: string, run: number): string {
	return `${task}#${run}`;
}

/** Whether another start may be sent. */
export function hasCallWindow({unansweredStarts, limit}: CallWindow): boolean {
	return unansweredStarts.size < limit;
}

/** True if calls wait although late answers have brought the bound to its least value: the leader cannot keep up. */
export function isWindowFull({limit, waitingStarts, hasWaitingPolls}: CallWindow): boolean {
	return limit === minLimit && (waitingStarts.length > 0 || hasWaitingPolls);
}

/** Notes a start that was sent. */
export function openStart({callWindow, now}: SchedulerState, task: Task, run: number): void {
	callWindow.unansweredStarts.set(formatKey(task.name, run), now);
}

/** True while a start of the task's latest run has no answer yet. */
export function hasOpenStart({callWindow}: SchedulerState, {name, run}: Task): boolean {
	return callWindow.unansweredStarts.has(formatKey(name, run));
}

/** Adds a stored placement to those whose starts are to be sent. */
export function queueStart({callWindow}: SchedulerState, task: Task, run: number): void {
	callWindow.waitingStarts.push({task, run});
}

/** Handles the outcome of a start, whatever became of its task. */
export function closeStart(state: SchedulerState, taskName: string, run: number, isAnswered: boolean): void {
	const {callWindow} = state;
	const key = formatKey(taskName, run);
	const sentAt = callWindow.unansweredStarts.get(key) ?? never;
	if (!callWindow.unansweredStarts.delete(key)) {
		return;
	}

	noteAnswerTime(state, isAnswered ? sentAt : never);
}

/** Notes the answer to a call that was sent at `sentAt`; `never` if there was none. */
export function noteAnswerTime({callWindow, now}: SchedulerState, sentAt: SteadyMs): void {
	const isTimely = sentAt !== never && now - sentAt <= promptAnswerMs;
	callWindow.timely += isTimely ? 1 : 0;
	callWindow.late += isTimely ? 0 : 1;
	if (callWindow.timely + callWindow.late >= callWindow.limit) {
		updateLimit(callWindow);
	}
}

/** Halves the bound if most calls were late, and raises it if most were in time and calls were held back. A minority of late answers comes from workers that are slow or out of reach. */
function updateLimit(callWindow: CallWindow): void {
	if (callWindow.late > callWindow.timely) {
		callWindow.limit = Math.max(minLimit, Math.floor(callWindow.limit / limitFactor));
	} else if (callWindow.hasHeldBack) {
		callWindow.limit = Math.min(maxLimit, callWindow.limit * limitFactor);
	}

	callWindow.timely = 0;
	callWindow.late = 0;
	callWindow.hasHeldBack = false;
}
