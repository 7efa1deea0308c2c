/** Ways to choose a target, by name. All but the one in the settings' default are baselines for the bench. */
import type {Target} from '../targets/state.js';
import type {ServiceId} from '../types/ids.js';
import type {State} from '../types/state.js';

/** Chooses a target of a service, or none. */
export type RoutingPolicy = (state: State, service: ServiceId) => Target | undefined;

export const routingPolicies: Readonly<Record<string, RoutingPolicy>> = {
	'least-outstanding': (state, service) => listLiveTargets(state, service)
		.toSorted((a, b) => a.outstanding - b.outstanding)
		.at(0),
};

/** The targets of a service that may get new work. */
export function listLiveTargets(state: State, service: ServiceId): Target[] {
	return [...state.targets.targets.values()].filter(target =>
		target.listed.service === service && target.listed.state === 'live');
}
