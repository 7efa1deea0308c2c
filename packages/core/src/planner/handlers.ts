/** The planner. It is part of every entry host and acts only while this host holds the planner lease. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import type {Effect} from '../types/effects.js';
import type {HandlerTable} from '../types/handlers.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {addMilliseconds} from '../types/time.js';
import {expireProposals} from '../log/proposals.js';
import {checkPlatformCall, checkInvariants} from './audit.js';
import type {PlannerEvent} from './events.js';
import {submitHealth, runChain} from './executor.js';
import {removeOperations, updateOperation} from './operations.js';
import {planFleet} from './planning.js';
import {
	findOwnTerm, hasFreshWorkers, updateLogClock, renewLeadership,
} from './leadership.js';

const planIntervalMs = 100;

export const plannerHandlers: HandlerTable<PlannerEvent['type']> = {
	'workers/listed'(state, event) {
		state.planner.workers = event.workers;
		state.planner.workersListedAt = event.at;
		return [];
	},
	'operation/reported'(state, event) {
		updateOperation(state, event.operationId, event.state);
		return [];
	},
	'operation/call-failed'(state, event) {
		updateOperation(state, event.operationId, 'unknown');
		return [];
	},
};

/** Updates the planner after a record was applied or rejected. The log's clock at that record also updates the estimate of the platform's clock. */
export function handleAppliedRecord(state: State, logged: LoggedRecord, outcome: RecordOutcome): Effect[] {
	updateLogClock(state);
	removeOperations(state, logged, outcome);
	return checkInvariants(state, logged, outcome);
}

/** Takes or renews the lease, records host health, continues outages and moves, and plans new ones. */
export function tickPlanner(state: State): Effect[] {
	if (state.now < state.planner.nextPlanAt) {
		return [];
	}

	state.planner.nextPlanAt = addMilliseconds(state.now, planIntervalMs);
	expireProposals(state, state.planner.proposals);
	const effects = renewLeadership(state);
	const term = findOwnTerm(state);
	if (term === undefined || !hasFreshWorkers(state)) {
		return effects;
	}

	effects.push(
		...submitHealth(state, term),
		...[...state.fleet.hosts.values()].flatMap(host => runChain(state, host, term)),
		...planFleet(state, term),
	);
	return effects.map(effect => checkPlatformCall(state, effect));
}
