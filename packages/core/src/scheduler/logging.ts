/** Log lines and other effects, collected while an event is handled. */
import type {LogFields, SchedulerEffect} from './effects.js';
import type {SchedulerState} from './state.js';

/** Adds an effect to those of the current event. */
export function addEffect(state: SchedulerState, effect: SchedulerEffect): void {
	state.outbox.push(effect);
}

/** Notes a decision or a change of belief. */
export function noteDecision(state: SchedulerState, event: string, fields: LogFields): void {
	state.outbox.push({
		type: 'log', level: 'info', event, fields,
	});
}

/** Notes what an operator may have to look at. */
export function noteWarning(state: SchedulerState, event: string, fields: LogFields): void {
	state.outbox.push({
		type: 'log', level: 'warn', event, fields,
	});
}
