/** The shape of the lookup tables from event type to handler. */
import type {Effect} from './effects.js';
import type {EventOf, EventType} from './events.js';
import type {State} from './state.js';

/** Changes the state for one event and returns what must be done. */
export type Handler<Type extends EventType> = (state: State, event: EventOf<Type>) => Effect[];

/** Handlers of the named events. */
export type HandlerTable<Type extends EventType> = {readonly [Key in Type]: Handler<Key>};
