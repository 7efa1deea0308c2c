/** Runtime checks of the invariants of pools and waves, independent of the validation that should ensure them. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import {listPoolHosts} from '../pools/budget.js';
import type {FleetHost} from '../pools/state.js';
import type {Effect, InvariantEffect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {getNextOffset} from '../types/time.js';
import {findOwnTerm} from './leadership.js';

const leavingSchemas = new Set(['outage-grant', 'move-lend']);

/** Checks the fleet after a record: planned outages and moves stay within the budgets, and a host's pool changes only by `move-joined`. */
export function checkInvariants(state: State, logged: LoggedRecord, outcome: RecordOutcome): InvariantEffect[] {
	resetKnownPools(state, logged);
	const {hostId} = (logged.record.body ?? {}) as {readonly hostId?: HostId};
	const host = hostId === undefined ? undefined : state.fleet.hosts.get(hostId);
	if (outcome.verdict !== 'accepted' || !host) {
		return [];
	}

	return [
		...checkPoolChange(state, host, logged.record.schema),
		...leavingSchemas.has(logged.record.schema) ? checkBudget(state, host) : [],
	];
}

/** After a jump to a later state, such as a snapshot, the pools known before cannot be compared. */
function resetKnownPools(state: State, logged: LoggedRecord): void {
	if (logged.offset !== state.planner.auditOffset) {
		state.planner.knownPools.clear();
	}

	state.planner.auditOffset = getNextOffset(logged.offset);
}

function checkPoolChange(state: State, host: FleetHost, schema: string): InvariantEffect[] {
	const before = state.planner.knownPools.get(host.hostId);
	state.planner.knownPools.set(host.hostId, host.pool);
	const isKept = before === undefined || before === host.pool || schema === 'move-joined';
	return isKept ? [] : [describeViolation('one-pool', `host ${host.hostId} went from ${before} to ${host.pool} by ${schema}`)];
}

function checkBudget(state: State, host: FleetHost): InvariantEffect[] {
	const budget = state.fleet.pools.get(host.pool)?.body.budget;
	const members = listPoolHosts(state.fleet, host.pool);
	const serving = members.filter(member => member.chain === undefined && !member.isDown);
	const out = members.filter(member => member.chain !== undefined && member.chain.step !== 'released');
	const inZone = out.filter(member => member.availabilityZone === host.availabilityZone);
	const inRack = inZone.filter(member => member.rack === host.rack);
	const isKept = budget !== undefined
		&& (host.isDown || serving.length >= budget.minimumHealthyHosts)
		&& out.length <= budget.maximumHostsOut
		&& inZone.length <= budget.maximumHostsOutPerZone
		&& inRack.length <= budget.maximumHostsOutPerRack;
	return isKept ? [] : [describeViolation('budget', `pool ${host.pool}: ${serving.length} serve, ${out.length} are out after ${host.hostId} left`)];
}

/** Replaces an operation call by an invariant violation, unless this host holds a valid term and the operation belongs to an accepted chain of its host. */
export function checkPlatformCall(state: State, effect: Effect): Effect {
	if (effect.type !== 'operation/start') {
		return effect;
	}

	const chain = state.fleet.hosts.get(effect.hostId)?.chain;
	const isCovered = chain !== undefined && effect.operationId.startsWith(`${chain.operationId}.`);
	return isCovered && findOwnTerm(state) !== undefined
		? effect
		: describeViolation('covered-call', `${effect.kind} of ${effect.hostId} as ${effect.operationId} has no accepted record or term`);
}

function describeViolation(name: string, detail: string): InvariantEffect {
	return {type: 'invariant/violated', name, detail};
}
