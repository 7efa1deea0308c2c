/** Takes requests on: refuses at once what cannot be run, sends the rest to a target. */
import {claimRequest} from '../claims/claims.js';
import type {HandlerTable} from '../types/handlers.js';
import {admitRequest} from './admission.js';
import type {RequestEvent} from './events.js';
import {refuseRequest} from './refusals.js';

export const requestHandlers: HandlerTable<RequestEvent['type']> = {
	'request/arrived'(state, event) {
		const {request} = event;
		if (state.isStopping) {
			return refuseRequest(state, request, 'shutting-down', 'this entry host is stopping');
		}

		if (!state.fleet.services.has(request.service)) {
			return refuseRequest(state, request, 'unknown-service', `service ${request.service} is not in force`);
		}

		return request.isIdempotent ? admitRequest(state, request) : claimRequest(state, request);
	},
	'caller/gone'() {
		return [];
	},
};
