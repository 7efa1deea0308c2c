/** Collects the effects of the current event, log lines among them. */
import type {LogFields, SchedulerEffect} from './effects.js';
import type {SchedulerState} from './state.js';

export function addEffect(state: SchedulerState, effect: SchedulerEffect): void {
	state.outbox.push(effect);
}

/** Logs a decision or a change in what the scheduler knows. */
export function noteDecision(state: SchedulerState, event: string, fields: LogFields): void {
	state.outbox.push({
		type: 'log', level: 'info', event, fields,
	});
}

/** Logs something that may need an operator's attention. */
export function noteWarning(state: SchedulerState, event: string, fields: LogFields): void {
	state.outbox.push({
		type: 'log', level: 'warn', event, fields,
	});
}

/** The stack of an error, or its message. */
export function describeError(error: unknown): string {
	return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
