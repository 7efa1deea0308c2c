/** Takes requests on: refuses at once what cannot be run, sends the rest to a target. */
import type {Effect} from '../types/effects.js';
import type {FaultKind} from '../types/faults.js';
import type {HandlerTable} from '../types/handlers.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {dispatchAttempt} from './attempts.js';
import type {RequestEvent} from './events.js';
import {routingPolicies} from './routing-policies.js';

const comeBackMs = 500;

export const requestHandlers: HandlerTable<RequestEvent['type']> = {
	'request/arrived'(state, event) {
		const {request} = event;
		if (state.isStopping) {
			return refuseRequest(state, request, 'shutting-down', 'this entry host is stopping');
		}

		if (!state.fleet.services.has(request.service)) {
			return refuseRequest(state, request, 'unknown-service', `service ${request.service} is not in force`);
		}

		const target = routingPolicies[state.settings.routingPolicy]?.(state, request.service);
		return target
			? dispatchAttempt(state, request, target)
			: refuseRequest(state, request, 'no-target', `no live target of ${request.service}`);
	},
	'caller/gone'() {
		return [];
	},
};

function refuseRequest(state: State, request: CallerRequest, kind: FaultKind, detail: string): Effect[] {
	return [{
		type: 'caller/refuse',
		callerKey: request.callerKey,
		fault: {kind, detail},
		comeBackAt: addMilliseconds(state.now, comeBackMs),
	}];
}
