/**
 * Bounds the starts and the first polls without an answer. Each call takes a part of the leader's link and processor: starts that the host
 * cannot send in time would make the polls behind them late too, and with them the leases of sound workers.
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

/** The starts under way, the bound on them, and what it is adapted to. */
export type StartWindow = {
	/** When each start without an answer was sent, by task and run. */
	readonly sentAt: Map<string, SteadyMs>;
	limit: number;
	/** Such calls since the bound was last looked at whose answers came in time, and those that came late or not at all. */
	timely: number;
	late: number;
	/** The bound has held calls back since its last change. */
	hasHeldBack: boolean;
	/** Stored placements whose starts are not sent yet. */
	waiting: Array<{readonly task: Task; readonly run: number}>;
};

export function createStartWindow(): StartWindow {
	return {
		sentAt: new Map(), limit: firstLimit, timely: 0, late: 0, hasHeldBack: false, waiting: [],
	};
}

function formatKey(task: string, run: number): string {
	return `${task}#${run}`;
}

/** Whether another start may be sent. */
export function hasStartWindow({sentAt, limit}: StartWindow): boolean {
	return sentAt.size < limit;
}

/** Notes a start that was sent. */
export function openStart({startWindow, now}: SchedulerState, task: Task, run: number): void {
	startWindow.sentAt.set(formatKey(task.name, run), now);
}

/** Adds a stored placement to those whose starts are to be sent. */
export function queueStart({startWindow}: SchedulerState, task: Task, run: number): void {
	startWindow.waiting.push({task, run});
}

/** Handles the outcome of a start, whatever became of its task. */
export function closeStart(state: SchedulerState, taskName: string, run: number, isAnswered: boolean): void {
	const {startWindow} = state;
	const key = formatKey(taskName, run);
	const sentAt = startWindow.sentAt.get(key) ?? never;
	if (!startWindow.sentAt.delete(key)) {
		return;
	}

	noteAnswerTime(state, isAnswered ? sentAt : never);
}

/** Notes the answer to a call that was sent at `sentAt`; `never` if there was none. */
export function noteAnswerTime({startWindow, now}: SchedulerState, sentAt: SteadyMs): void {
	const isTimely = sentAt !== never && now - sentAt <= promptAnswerMs;
	startWindow.timely += isTimely ? 1 : 0;
	startWindow.late += isTimely ? 0 : 1;
	if (startWindow.timely + startWindow.late >= startWindow.limit) {
		updateLimit(startWindow);
	}
}

/** Halves the bound if most calls were late, and raises it if most were in time and calls were held back. A minority of late answers comes from workers that are slow or out of reach. */
function updateLimit(startWindow: StartWindow): void {
	if (startWindow.late > startWindow.timely) {
		startWindow.limit = Math.max(minLimit, Math.floor(startWindow.limit / limitFactor));
	} else if (startWindow.hasHeldBack) {
		startWindow.limit = Math.min(maxLimit, startWindow.limit * limitFactor);
	}

	startWindow.timely = 0;
	startWindow.late = 0;
	startWindow.hasHeldBack = false;
}
