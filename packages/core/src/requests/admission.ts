/** Lets a request in that is idempotent or whose id is claimed. */
import type {Effect} from '../types/effects.js';
import type {CallerRequest} from '../types/requests.js';
import type {State} from '../types/state.js';
import {dispatchAttempt} from './attempts.js';
import {refuseRequest} from './refusals.js';
import {routingPolicies} from './routing-policies.js';

/** Sends a request to a target, or refuses it. */
export function admitRequest(state: State, request: CallerRequest): Effect[] {
	const target = routingPolicies[state.settings.routingPolicy]?.(state, request.service);
	return target
		? dispatchAttempt(state, request, target)
		: refuseRequest(state, request, 'no-target', `no live target of ${request.service}`);
}
