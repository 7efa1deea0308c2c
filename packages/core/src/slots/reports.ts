/** Reports to each steward of this host's queued asks and granted slots: they renew leases and rebuild the state of a new steward. */
import {getRoutingPolicy} from '../requests/routing-policies.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import type {HeldSlot, SlotAsk} from './messages.js';
import {getScopeKey, type ReportedSteward} from './state.js';

const reportIntervalMs = 500;

/** The asks and slots that this host has at one steward. */
type Holding = {readonly queued: SlotAsk[]; readonly held: HeldSlot[]};

/** Reports to every steward when the interval has passed, and to a new steward at once. */
export function tickReports(state: State): Effect[] {
	const isDue = state.now >= state.slots.nextReportAt;
	if (isDue) {
		state.slots.nextReportAt = addMilliseconds(state.now, reportIntervalMs);
	}

	const changed = listScopes(state).filter(scope => updateSteward(state, scope));
	if (!isDue && changed.length === 0) {
		return [];
	}

	const holdings = buildHoldings(state);
	const scopes = isDue ? [...state.slots.reported.values()] : changed;
	return scopes.flatMap(scope => reportScope(scope, holdings, changed.includes(scope)));
}

function listScopes(state: State): ReportedSteward[] {
	const policy = getRoutingPolicy(state);
	return [...state.fleet.services.keys()].flatMap(service =>
		policy.listZones(state, service).map(availabilityZone => {
			const key = getScopeKey(service, availabilityZone);
			const known = state.slots.reported.get(key);
			if (known) {
				return known;
			}

			const scope: ReportedSteward = {
				service, availabilityZone, steward: undefined, wasEmpty: true,
			};
			state.slots.reported.set(key, scope);
			return scope;
		}));
}

/** Updates the steward of a service and zone, also in the grants held. Returns whether it has changed. */
function updateSteward(state: State, scope: ReportedSteward): boolean {
	const steward = getRoutingPolicy(state).chooseSteward(state, scope.service, scope.availabilityZone);
	if (steward === scope.steward) {
		return false;
	}

	scope.steward = steward;
	for (const grant of state.requests.grants.values()) {
		if (grant.ask.service === scope.service && grant.ask.availabilityZone === scope.availabilityZone) {
			grant.steward = steward;
		}
	}

	return true;
}

function buildHoldings(state: State): ReadonlyMap<string, Holding> {
	const holdings = new Map<string, Holding>();
	const getHolding = (ask: SlotAsk) => {
		const key = getScopeKey(ask.service, ask.availabilityZone);
		const holding = holdings.get(key) ?? {queued: [], held: []};
		holdings.set(key, holding);
		return holding;
	};

	for (const open of state.requests.open.values()) {
		for (const {ask} of open.asks.values()) {
			getHolding(ask).queued.push(ask);
		}
	}

	for (const {ask, target} of state.requests.grants.values()) {
		getHolding(ask).held.push({ask, target});
	}

	return holdings;
}

function reportScope(scope: ReportedSteward, holdings: ReadonlyMap<string, Holding>, isNew: boolean): Effect[] {
	const {service, availabilityZone, steward} = scope;
	const holding = holdings.get(getScopeKey(service, availabilityZone)) ?? {queued: [], held: []};
	const isEmpty = holding.queued.length === 0 && holding.held.length === 0;
	if (!steward || (isEmpty && scope.wasEmpty && !isNew)) {
		return [];
	}

	scope.wasEmpty = isEmpty;
	return [{
		type: 'peer/send',
		peer: steward,
		message: {
			type: 'slot-report', service, availabilityZone, ...holding,
		},
	}];
}
