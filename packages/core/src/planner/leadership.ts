/** Leadership of the planner on this entry host: takes an expired lease, renews its own in time, and acts only while its lease is certain to be valid. */
import {isReady} from '../log/start.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {releasedDeadline} from './lease.js';
import {submitLease} from './proposals.js';

const leaseMs = 6000;
const renewBeforeMs = 4000;
/** The holder stops acting this long before the lease expires. */
const safetyMarginMs = 1000;
const maximumWorkerListAgeMs = 5000;

/**
 * Estimates the platform's clock, which is also the clock of the log: it gives each record its `at`. Such estimates are named
 * `logTime`; `fleet.clock` is the clock's latest instant in the applied records. The estimate is never ahead of the clock by more
 * than the transit time of an answer.
 */
export function estimateLogTime(state: State): Instant {
	const leadMs = Number.isFinite(state.planner.logClockAheadMs) ? state.planner.logClockAheadMs : 0;
	return addMilliseconds(state.now, leadMs);
}

/** Updates the estimate from the clock of the log at the latest applied record. */
export function updateLogClock(state: State): void {
	state.planner.logClockAheadMs = Math.max(state.planner.logClockAheadMs, state.fleet.clock - state.now);
}

/** The term in which this process is the planner; undefined if it is not the planner or not certain to be. */
export function findOwnTerm(state: State): number | undefined {
	const lease = state.fleet.plannerLease;
	const mayAct = !state.isStopping && isHolder(state);
	return mayAct && lease && estimateLogTime(state) + safetyMarginMs < lease.deadline ? lease.term : undefined;
}

/** Whether the list of workers is recent enough to act on. */
export function hasFreshWorkers(state: State): boolean {
	const {workersListedAt} = state.planner;
	return workersListedAt !== undefined && workersListedAt + maximumWorkerListAgeMs > state.now;
}

/** Whether this host is the planner or may have to become it. Otherwise fetching the list of workers would waste bandwidth. */
export function isWorkerListNeeded(state: State): boolean {
	const lease = state.fleet.plannerLease;
	return !lease || isHolder(state) || estimateLogTime(state) >= lease.deadline;
}

/** Takes an expired lease or renews this host's own. A host that is stopping releases its lease, so that another can take over at once. */
export function renewLeadership(state: State): Effect[] {
	if (state.isStopping) {
		return releaseLeadership(state);
	}

	if (!isReady(state) || !state.log.isReachable || !hasFreshWorkers(state)) {
		return [];
	}

	const lease = state.fleet.plannerLease;
	const logTime = estimateLogTime(state);
	const isOwn = isHolder(state);
	if (lease && logTime < (isOwn ? lease.deadline - renewBeforeMs : lease.deadline)) {
		return [];
	}

	return submitLease(state, {
		holder: state.settings.self.hostId,
		incarnation: state.settings.incarnation,
		term: (lease?.term ?? 0) + (isOwn ? 0 : 1),
		deadline: addMilliseconds(logTime, leaseMs),
	});
}

function isHolder(state: State): boolean {
	const lease = state.fleet.plannerLease;
	return lease?.holder === state.settings.self.hostId && lease.incarnation === state.settings.incarnation;
}

function releaseLeadership(state: State): Effect[] {
	const lease = state.fleet.plannerLease;
	return lease && isHolder(state) && lease.deadline !== releasedDeadline
		? submitLease(state, {...lease, deadline: releasedDeadline})
		: [];
}
