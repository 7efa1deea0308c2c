/** Drives a reducer with `most`: events go in one at a time, effects come out in order. */
import {from} from 'most';
import symbolObservable from 'symbol-observable';

export type Reducer<State, Event, Effect> = (state: State, event: Event) => Effect[];
type Observer<Event> = {next(event: Event): void; error(error: Error): void; complete(): void};

/** A queue of events in front of a reducer, so that an effect which raises an event never re-enters a step. */
export class ReducerLoop<State, Event, Effect> {
	/** The reducer must turn its own faults into effects: an exception ends the stream. */
	static create<State, Event, Effect>(state: State, reduce: Reducer<State, Event, Effect>, runEffect: (effect: Effect) => void): ReducerLoop<State, Event, Effect> {
		return new ReducerLoop(state, reduce, runEffect);
	}

	private readonly queue: Event[] = [];
	private readonly observers: Array<Observer<Event>> = [];
	private isDraining = false;

	private constructor(readonly state: State, reduce: Reducer<State, Event, Effect>, runEffect: (effect: Effect) => void) {
		const source = {
			[symbolObservable.default]: () => source,
			subscribe: (observer: Observer<Event>) => {
				this.observers.push(observer);
				return {unsubscribe() {}};
			},
		};
		void from<Event>(source)
			.loop((current: State, event: Event) => ({seed: current, value: reduce(current, event)}), state)
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
