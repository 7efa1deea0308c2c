/** The planner's lease in the fold: at most one holder in each term, fenced by the term. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import type {FleetState} from '../fleet/state.js';
import type {LoggedRecord} from '../types/records.js';
import type {PlannerDomainBodies, PlannerLeaseBody} from './bodies.js';

/** A deadline further ahead of the platform's clock than this is void, so that a wrong clock cannot take the lease for good. */
export const maximumLeaseMs = 15_000;

type LeaseApplier = (fleet: FleetState, logged: LoggedRecord, body: PlannerLeaseBody) => RecordOutcome;

export const plannerAppliers: {readonly [Name in keyof PlannerDomainBodies]: LeaseApplier} = {
	'planner-lease'(fleet, logged, body) {
		const reason = judgeDeadline(logged, body) ?? judgeHolder(fleet, logged, body);
		if (reason !== undefined) {
			return {verdict: 'void', reason};
		}

		fleet.plannerLease = body;
		return {verdict: 'accepted'};
	},
};

/** Why a record of a term is void; nothing if the term is in force. */
export function judgeTerm(fleet: FleetState, term: number): string | undefined {
	const current = fleet.plannerLease?.term;
	return term === current ? undefined : `term ${term} is not in force, but ${current ?? 'none'}`;
}

function judgeDeadline(logged: LoggedRecord, body: PlannerLeaseBody): string | undefined {
	return body.deadline > logged.at + maximumLeaseMs ? 'the deadline is too far ahead of the clock of the log' : undefined;
}

function judgeHolder(fleet: FleetState, logged: LoggedRecord, body: PlannerLeaseBody): string | undefined {
	const current = fleet.plannerLease;
	if (!current) {
		return body.term === 1 ? undefined : 'the first term is 1';
	}

	if (body.term === current.term) {
		const isHolder = body.holder === current.holder && body.incarnation === current.incarnation;
		return isHolder ? undefined : `term ${current.term} is held by ${current.holder}`;
	}

	if (body.term !== current.term + 1) {
		return `the next term is ${current.term + 1}`;
	}

	return logged.at < current.deadline ? `${current.holder} holds the lease until ${current.deadline}` : undefined;
}
