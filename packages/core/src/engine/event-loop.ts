/** Drives the reducer with `most`: events go in one at a time, effects come out in order. */
import {from} from 'most';
import symbolObservable from 'symbol-observable';
import type {Effect} from '../types/effects.js';
import type {Event} from '../types/events.js';
import type {State} from '../types/state.js';
import {reduce} from './reduce.js';

export type EffectRunner = (effect: Effect) => void;
type Observer = {next(event: Event): void; error(error: Error): void; complete(): void};

/** A queue of events in front of the reducer, so that an effect which raises an event never re-enters a step. */
export class EventLoop {
	static create(state: State, runEffect: EffectRunner): EventLoop {
		return new EventLoop(state, runEffect);
	}

	private readonly queue: Event[] = [];
	private readonly observers: Observer[] = [];
	private isDraining = false;

	private constructor(readonly state: State, runEffect: EffectRunner) {
		const source = {
			[symbolObservable.default]: () => source,
			subscribe: (observer: Observer) => {
				this.observers.push(observer);
				return {unsubscribe() {}};
			},
		};
		const events = from<Event>(source);
		void events
			.loop((current: State, event: Event) => ({seed: current, value: reduceSafely(current, event)}), state)
			.observe((effects: Effect[]) => {
				for (const effect of effects) {
					runEffect(effect);
				}
			});
	}

	/** Hands in an event; it is reduced now, or after the current one. */
	push(event: Event): void {
		this.queue.push(event);
		if (this.isDraining) {
			return;
		}

		this.isDraining = true;
		try {
			this.runQueue();
		} finally {
			this.isDraining = false;
		}
	}

	private runQueue(): void {
		for (let event = this.queue.shift(); event; event = this.queue.shift()) {
			for (const observer of this.observers) {
				observer.next(event);
			}
		}
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
