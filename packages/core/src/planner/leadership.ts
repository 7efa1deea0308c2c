/** The planner's lease as this entry host sees it: take it when it has lapsed, renew it in time, act only while it surely holds. */
import {isReady} from '../log/start.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {addMilliseconds, type Instant} from '../types/time.js';
import {releasedDeadline} from './lease.js';
import {publishLease} from './proposals.js';

const leaseMs = 6000;
const renewBeforeMs = 4000;
/** The holder stops acting this long before the lease lapses. */
const safetyMarginMs = 1000;
const maximumWorkerListAgeMs = 5000;

/** An estimate of the platform's clock that is never ahead of it by more than an answer's way. */
export function estimateLogTime(state: State): Instant {
	const leadMs = Number.isFinite(state.planner.logClockAheadMs) ? state.planner.logClockAheadMs : 0;
	return addMilliseconds(state.now, leadMs);
}

/** Takes in a new reading of the platform's clock. */
export function updateLogClock(state: State): void {
	state.planner.logClockAheadMs = Math.max(state.planner.logClockAheadMs, state.fleet.clock - state.now);
}

/** The term in which this process is the planner; nothing if it is not, or not surely. */
export function findOwnTerm(state: State): number | undefined {
	const lease = state.fleet.plannerLease;
	const mayAct = !state.isStopping && isHolder(state);
	return mayAct && lease && estimateLogTime(state) + safetyMarginMs < lease.deadline ? lease.term : undefined;
}

/** Whether the list of workers is fresh enough to act on. */
export function hasFreshWorkers(state: State): boolean {
	const {workersListedAt} = state.planner;
	return workersListedAt !== undefined && workersListedAt + maximumWorkerListAgeMs > state.now;
}

/** Whether this host plans or may have to: only then is the list of workers worth its bytes. */
export function isWorkerListNeeded(state: State): boolean {
	const lease = state.fleet.plannerLease;
	return !lease || isHolder(state) || estimateLogTime(state) >= lease.deadline;
}

/** Takes a lapsed lease or renews the own one; a host that stops hands it back, so that another goes on at once. */
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

	return publishLease(state, {
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
		? publishLease(state, {...lease, deadline: releasedDeadline})
		: [];
}
