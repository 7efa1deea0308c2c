/** Applies records of the planner lease: each term has at most one holder, and the term serves as the fencing token. */
import {accepted, rejectRecord, type BodyApplier} from '../fleet/outcomes.js';
import type {FleetState} from '../fleet/state.js';
import type {LoggedRecord, LogRecord} from '../types/records.js';
import type {Instant} from '../types/time.js';
import {plannerLeaseBodyV1, type PlannerDomainBodies, type PlannerLeaseBody} from './bodies.js';

/** A record with a deadline further ahead of the platform's clock is void, so that a host with a wrong clock cannot take the lease permanently. */
export const maximumLeaseMs = 15_000;

export const plannerAppliers: {readonly [Name in keyof PlannerDomainBodies]: BodyApplier<PlannerDomainBodies[Name]>} = {
	'planner-lease'(fleet, logged, body) {
		const reason = validateDeadline(logged, body) ?? validateHolder(fleet, logged, body);
		if (reason !== undefined) {
			return rejectRecord(reason);
		}

		if (isDuplicateRenewal(fleet, body)) {
			return {verdict: 'repeated'};
		}

		fleet.plannerLease = body;
		return accepted;
	},
};

/** The deadline of a lease that its holder has released: the term has ended and cannot be renewed. */
export const releasedDeadline = 0 as Instant;

/** Whether a record is from the lease's holder and for the current term. A duplicate of it is detected by its deadline, so its id need not be remembered. */
export function isRenewal(fleet: FleetState, {schema, version, body}: LogRecord): boolean {
	if (schema !== 'planner-lease' || version !== 1) {
		return false;
	}

	const parsed = plannerLeaseBodyV1.safeParse(body);
	return parsed.success && isOfHolder(fleet.plannerLease, parsed.data);
}

/** Why a record with this term is void; undefined if the term is the current one. */
export function validateTerm(fleet: FleetState, term: number): string | undefined {
	const current = fleet.plannerLease?.term;
	return term === current ? undefined : `term ${term} is not in force, but ${current ?? 'none'}`;
}

function isOfHolder(current: PlannerLeaseBody | undefined, body: PlannerLeaseBody): boolean {
	return body.term === current?.term && body.holder === current.holder && body.incarnation === current.incarnation;
}

/** Within a term the deadline only increases until the lease is released; any other record is a duplicate of an earlier one. */
function isDuplicateRenewal({plannerLease: current}: FleetState, body: PlannerLeaseBody): boolean {
	if (!current || !isOfHolder(current, body)) {
		return false;
	}

	const isRelease = body.deadline === releasedDeadline;
	return current.deadline === releasedDeadline || (!isRelease && body.deadline <= current.deadline);
}

function validateDeadline(logged: LoggedRecord, body: PlannerLeaseBody): string | undefined {
	return body.deadline > logged.at + maximumLeaseMs ? 'the deadline is too far ahead of the clock of the log' : undefined;
}

function validateHolder(fleet: FleetState, logged: LoggedRecord, body: PlannerLeaseBody): string | undefined {
	const current = fleet.plannerLease;
	if (!current) {
		return body.term === 1 ? undefined : 'the first term is 1';
	}

	if (body.term === current.term) {
		return isOfHolder(current, body) ? undefined : `term ${current.term} is held by ${current.holder}`;
	}

	if (body.term !== current.term + 1) {
		return `the next term is ${current.term + 1}`;
	}

	return logged.at < current.deadline ? `${current.holder} holds the lease until ${current.deadline}` : undefined;
}
