/** The event loop of an entry host: its reducer behind a queue of events. */
import type {Effect} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {State} from '../types/state.js';
import {reduce} from './reduce.js';
import {ReducerLoop} from './reducer-loop.js';

export type EffectRunner = (effect: Effect) => void;

/** A queue of events in front of the reducer. */
export class EventLoop {
	static create(state: State, runEffect: EffectRunner): EventLoop {
		return new EventLoop(state, runEffect);
	}

	private readonly loop: ReducerLoop<State, Event, Effect>;

	private constructor(readonly state: State, runEffect: EffectRunner) {
		this.loop = ReducerLoop.create<State, Event, Effect>(state, reduceSafely, runEffect);
	}

	/** Hands in an event; it is reduced now, or after the current one. */
	push(event: Event): void {
		this.loop.push(event);
	}
}

/** An exception would end the stream for good, so it becomes a violated invariant and the loop goes on. */
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
