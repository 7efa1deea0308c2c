/** Runs a reducer on a `most` stream: takes one event at a time and runs its effects in order. */
import {from} from 'most';
import symbolObservable from 'symbol-observable';

export type Reducer<State, Event, Effect> = (state: State, event: Event) => Effect[];
type Observer<Event> = {next(event: Event): void; error(error: Error): void; complete(): void};

/** Queues events for a reducer, so that an event raised by an effect is reduced only after the current event's effects have run. */
export class ReducerLoop<State, Event, Effect> {
	/** The reducer must catch its own exceptions and return them as effects: an uncaught one ends the stream. */
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

	/** Adds an event. It is reduced at once, or after the events already queued if one is being reduced. */
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
