/** Counts calls that were refused before a request was created. */
import type {HandlerTable} from '../types/handlers.js';
import type {BurnEvent} from './events.js';

export const burnHandlers: HandlerTable<BurnEvent['type']> = {
	'call/refused': (_state, event) => [{
		type: 'metric/send', kind: 'count', name: 'call.refused', value: 1, tags: {kind: event.kind},
	}],
};
