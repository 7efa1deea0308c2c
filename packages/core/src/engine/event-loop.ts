/** The event loop of an entry host: runs the reducer on one event at a time. */
import type {Effect} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {State} from '../types/state.js';
import {reduce} from './reduce.js';
import {ReducerLoop} from './reducer-loop.js';

export type EffectRunner = (effect: Effect) => void;

/** Queues events, passes them to the reducer one by one and runs the resulting effects. */
export class EventLoop {
	static create(state: State, runEffect: EffectRunner): EventLoop {
		return new EventLoop(state, runEffect);
	}

	private readonly loop: ReducerLoop<State, Event, Effect>;

	private constructor(readonly state: State, runEffect: EffectRunner) {
		this.loop = ReducerLoop.create<State, Event, Effect>(state, reduceSafely, runEffect);
	}

	/** Adds an event. It is reduced at once, or after the events already queued if one is being reduced. */
	push(event: Event): void {
		this.loop.push(event);
	}
}

/** Turns an exception of a handler into a violated invariant, since an uncaught one would end the event stream permanently. */
function reduceSafely(state: State, event: Event): Effect[] {
	try {
		return reduce(state, event);
	} catch (error) {
		return [{type: 'invariant/violated', name: 'handler-throws', detail: `${event.type}: ${describeError(error)}`}];
	}
}

function describeError(error: unknown): string {
	return error instanceof Error ? error.message : 'unknown error';
}
