/** Expected waits for all hosts: when the leader publishes the figures, and how long they are valid at a host. */
import {isConfirmedWithin} from './confirmation.js';
import {computeWaits} from './expected-wait.js';
import {getPoolOfJob} from './queues.js';
import {
	addResources, computeDominantShare, computeMultiple, noResources,
} from './resources.js';
import {estimateRunMs} from './run-estimate.js';
import {getStepNeed} from './tasks.js';
import type {
	AccountName, AccountShare, FencingToken, LeaseRecord, LoadFigures, PoolName, PoolWait, Resources, SteadyMs,
} from './types.js';
import type {Job, SchedulerState} from './state.js';

/** Figures are published at most this often, when one has changed by this much or by a quarter. */
const publishIntervalMs = 250;
const minChangeMs = 250;
const minChangeShare = 0.25;
/** Older views, and those of a leader that has been silent for longer, do not justify a refusal. */
export const maxLoadAgeMs = 3000;
/** How long after their computation hosts read the figures, at most, unless the store or the host is slow. */
const maxReadDelayMs = 1500;
/** After a takeover, no figures are published before most workers have answered, or this time has passed. */
const settlingMs = 1500;
const maxUnpolledShare = 0.1;
/** Weight, per interval, of the latest arrivals of an account. */
const arrivalWeight = 0.25;
/** Accounts with fewer arrivals an interval, on average, are not counted. */
const minArrivals = 0.05;
/** An account counts as over its rate if more than this share of its jobs is excess. */
const minExcessShare = 0.02;
/** Arriving work that keeps fewer resources busy than this is not counted. */
const idleRate: Resources = {cpu: 1, memoryMb: 1, gpu: 0.001};

export type LoadState = {
	/** The figures in force, and when this host read or computed them; undefined without a leader that has published any. */
	view: {readonly figures: LoadFigures; readonly readAt: SteadyMs; readonly ageAtReadMs: number} | undefined;
	/** The token of the latest lease or figures that were read. */
	leaderToken: FencingToken;
	/** Figures to be stored with the next append of this leader. */
	unstored: LoadFigures | undefined;
	dueAt: SteadyMs;
	/** Moving averages of arrivals by account at the leader, in all and within the share. */
	readonly arrivals: Map<AccountName, {total: number; within: number; newTotal: number; newWithin: number}>;
	/** Work of the short jobs that have arrived at the leader by pool, excess jobs apart: since the last update, and the moving average of the resources that it keeps busy. */
	readonly arrivedWork: Map<PoolName, {work: Resources; rate: Resources}>;
	arrivalsSince: SteadyMs;
};

export function createLoadState(): LoadState {
	return {
		view: undefined, leaderToken: 0, unstored: undefined, dueAt: 0, arrivals: new Map(), arrivedWork: new Map(), arrivalsSince: 0,
	};
}

/** Admission takes effect only where the host's settings enable it. */
export function isAdmissionEnabled({settings}: SchedulerState): boolean {
	return settings.isAdmissionEnabled === true;
}

/** Hosts tell each other which jobs they refused, and let Retry-After grow with an outage, where the operators keep client accounts or admission is enabled. */
export function doesShareRefusals({config, settings}: SchedulerState): boolean {
	return config?.accounts !== undefined || settings.isAdmissionEnabled === true;
}

/** Counts a job that has arrived at the leader. */
export function noteArrival(state: SchedulerState, job: Job): void {
	if (!isAdmissionEnabled(state)) {
		return;
	}

	const {definition: {account}, isExcess} = job;
	if (account !== undefined) {
		const count = state.load.arrivals.get(account) ?? {
			total: 0, within: 0, newTotal: 0, newWithin: 0,
		};
		count.newTotal++;
		count.newWithin += isExcess ? 0 : 1;
		state.load.arrivals.set(account, count);
	}

	if (!isExcess) {
		noteArrivedWork(state, job);
	}
}

function noteArrivedWork(state: SchedulerState, job: Job): void {
	const pool = getPoolOfJob(state, job);
	const arrived = state.load.arrivedWork.get(pool) ?? {work: noResources, rate: noResources};
	state.load.arrivedWork.set(pool, arrived);
	for (const [number, step] of job.definition.steps.entries()) {
		if (!step.isLongRunning) {
			arrived.work = addResources(arrived.work, getStepNeed(step), step.count * estimateRunMs(state, job.definition, number));
		}
	}
}

function updateArrivedWork({load, now}: SchedulerState): void {
	const elapsedMs = now - load.arrivalsSince;
	load.arrivalsSince = now;
	for (const [pool, arrived] of load.arrivedWork) {
		const latest = computeMultiple(arrived.work, 1 / Math.max(1, elapsedMs));
		arrived.rate = addResources(computeMultiple(arrived.rate, 1 - arrivalWeight), latest, arrivalWeight);
		arrived.work = noResources;
		if (computeDominantShare(arrived.rate, idleRate) < 1) {
			load.arrivedWork.delete(pool);
		}
	}
}

/** Begins a term as the leader. */
export function resetLoad(state: SchedulerState): void {
	const {load, leadership} = state;
	load.view = undefined;
	load.unstored = undefined;
	load.leaderToken = leadership.token;
	load.dueAt = 0;
	load.arrivals.clear();
	load.arrivedWork.clear();
	load.arrivalsSince = state.now;
}

/** Computes the figures on the leader, and publishes them if they differ enough from what the hosts assume. */
export function tickLoad(state: SchedulerState): void {
	const {load} = state;
	if (state.now < load.dueAt || !isAdmissionEnabled(state) || isSettling(state)) {
		return;
	}

	load.dueAt = state.now + publishIntervalMs;
	updateArrivedWork(state);
	const figures: LoadFigures = {
		token: state.leadership.token, computedAt: state.wallNow, waits: computeWaits(state), shares: updateShares(state),
	};
	if (hasChanged(state, figures)) {
		load.view = {figures, readAt: state.now, ageAtReadMs: 0};
		load.unstored = figures;
	}
}

function isSettling({workers, leadership, now}: SchedulerState): boolean {
	if (now > leadership.leaderSince + settlingMs) {
		return false;
	}

	const listed = [...workers.values()].filter(({isListed}) => isListed);
	const unpolled = listed.filter(({isPolledByLeader, failedPolls}) => !isPolledByLeader && failedPolls === 0);
	return unpolled.length >= listed.length * maxUnpolledShare;
}

function updateShares({load: {arrivals}}: SchedulerState): AccountShare[] {
	const shares: AccountShare[] = [];
	for (const [account, count] of arrivals) {
		count.total += (count.newTotal - count.total) * arrivalWeight;
		count.within += (count.newWithin - count.within) * arrivalWeight;
		count.newTotal = 0;
		count.newWithin = 0;
		const within = count.within / count.total;
		if (count.total < minArrivals) {
			arrivals.delete(account);
		} else if (within < 1 - minExcessShare) {
			shares.push({account, within: Math.round(within * 100) / 100});
		}
	}

	return shares;
}

/** Compares with the figures that hosts assume: they shorten each published wait by the time that has passed since. */
function hasChanged(state: SchedulerState, {waits, shares}: LoadFigures): boolean {
	const {view} = state.load;
	const known = view?.figures ?? {waits: [], shares: []};
	if (waits.length !== known.waits.length || shares.length !== known.shares.length) {
		return true;
	}

	return waits.some(wait => hasWaitChanged(state, wait)) || shares.some(({account, within}) => isFarFrom(within, findShare(state, account), Number.POSITIVE_INFINITY));
}

function hasWaitChanged(state: SchedulerState, wait: PoolWait): boolean {
	const assumed = findWait(state, wait.pool, wait.priority, state.now);
	return assumed === undefined || (assumed.room === undefined) !== (wait.room === undefined)
		|| (['startMs', 'backlogMs', 'delayMs', 'excessMs'] as const).some(name => isFarFrom(wait[name], assumed[name], minChangeMs));
}

function isFarFrom(figure: number, known: number, maxChange: number): boolean {
	const change = Math.abs(figure - known);
	return change > maxChange || change > known * minChangeShare;
}

/** Applies figures that were read from the ledger. */
export function applyLoad({load, now, wallNow}: SchedulerState, figures: LoadFigures): void {
	if (figures.token >= load.leaderToken) {
		load.leaderToken = figures.token;
		load.view = {figures, readAt: now, ageAtReadMs: Math.min(maxReadDelayMs, Math.max(0, wallNow - figures.computedAt))};
	}
}

/** The figures of a leader are valid during its term only. */
export function noteLease({load}: SchedulerState, {token, isReleased}: LeaseRecord): void {
	load.leaderToken = Math.max(load.leaderToken, token);
	if (isReleased || load.view?.figures.token !== load.leaderToken) {
		load.view = undefined;
	}
}

/**
 * How old what this host knows of the leader's figures is; undefined if it does not justify a refusal: no figures, no
 * leader, or too old a view. `ledgerAgeMs`: everything that was stored in the ledger before this age has been read.
 */
export function getLoadAgeMs(state: SchedulerState, now: SteadyMs, ledgerAgeMs: number | undefined): number | undefined {
	const {load, leadership} = state;
	if (!load.view) {
		return undefined;
	}

	if (leadership.role === 'leader') {
		return isConfirmedWithin(state, maxLoadAgeMs) ? 0 : undefined;
	}

	const isLeaderKnown = !leadership.isReleased && now - leadership.lastRecordAt < maxLoadAgeMs;
	return isLeaderKnown && ledgerAgeMs !== undefined && ledgerAgeMs < maxLoadAgeMs ? ledgerAgeMs : undefined;
}

/** The published wait of a pool's queues less the time that has passed since; undefined if there is none. */
export function findWait({load: {view}}: SchedulerState, pool: PoolName, priority: number, now: SteadyMs): PoolWait | undefined {
	const wait = view?.figures.waits.find(other => other.pool === pool && other.priority === priority);
	if (!view || !wait) {
		return undefined;
	}

	const passedMs = Math.max(0, now - view.readAt) + view.ageAtReadMs;
	const decay = (ms: number) => Math.max(0, ms - passedMs);
	return {
		...wait, startMs: decay(wait.startMs), backlogMs: decay(wait.backlogMs), delayMs: decay(wait.delayMs), excessMs: decay(wait.excessMs),
	};
}

/** The fraction of an account's jobs that is within its share; 1 if it is not over its rate. */
export function findShare({load: {view}}: SchedulerState, account: AccountName): number {
	return view?.figures.shares.find(share => share.account === account)?.within ?? 1;
}
