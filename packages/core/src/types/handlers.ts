/** The shape of the lookup tables from event type to handler. */
import type {Effect} from './effects.js';
import type {EventOf, EventType} from './events.js';
import type {State} from './state.js';

/** Changes the state for one event and returns the effects to run. */
export type Handler<Type extends EventType> = (state: State, event: EventOf<Type>) => Effect[];

/** The handlers for the given event types. */
export type HandlerTable<Type extends EventType> = {readonly [Key in Type]: Handler<Key>};
