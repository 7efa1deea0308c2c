/**
 * Fair shares of client accounts: which jobs exceed the rate of their account, and whose step goes next.
 *
 * Steps of the same class of urgency are ordered by dominant resource fairness over all pools: the account with the lowest
 * weighted dominant share goes first. What an account does not use goes to the others at once, as only use counts.
 */
import TinyQueue from 'tinyqueue';
import {getAccountUse, noAccount} from './account-use.js';
import {findAccount} from './queues.js';
import {addResources, computeDominantShare, noResources} from './resources.js';
import {compareClass, type Urgency} from './urgency.js';
import type {
	AccountName, FleetConfig, JobDefinition, Resources, SteadyMs,
} from './types.js';
import type {SchedulerState} from './state.js';

const millisecondsPerSecond = 1000;

/** Token bucket of an account: jobs that it may still send within its rate. */
export type ArrivalBucket = {tokens: number; updatedAt: SteadyMs};

/**
 * Takes a token of its account for a job that has just been read. Returns true if there is none: the job exceeds the
 * account's rate. Jobs that a starting host loads arrived at unknown times and are never excess.
 */
export function takeArrival(state: SchedulerState, {account: name}: JobDefinition): boolean {
	const account = name === undefined ? undefined : findAccount(state.config, name);
	if (!account || state.intakeCompleteAt === Number.NEGATIVE_INFINITY) {
		return false;
	}

	// A read brings all jobs since the read before it: as many as that time allows are within the rate.
	const burstMs = Math.max(millisecondsPerSecond, state.now - state.intakeCompleteAt);
	const burst = Math.max(1, account.weight * burstMs / millisecondsPerSecond);
	const bucket = getBucket(state, account.name, burst);
	bucket.tokens = Math.min(burst, bucket.tokens + ((state.now - bucket.updatedAt) * account.weight / millisecondsPerSecond));
	bucket.updatedAt = state.now;
	if (bucket.tokens < 1) {
		return true;
	}

	bucket.tokens--;
	return false;
}

function getBucket({arrivalBuckets, config, now}: SchedulerState, name: AccountName, tokens: number): ArrivalBucket {
	let bucket = arrivalBuckets.get(name);
	if (!bucket) {
		dropFormerAccounts(arrivalBuckets, config);
		bucket = {tokens, updatedAt: now};
		arrivalBuckets.set(name, bucket);
	}

	return bucket;
}

function dropFormerAccounts(buckets: Map<AccountName, ArrivalBucket>, config: FleetConfig | undefined): void {
	if (buckets.size < (config?.accounts?.length ?? 0)) {
		return;
	}

	for (const name of buckets.keys()) {
		if (!findAccount(config, name)) {
			buckets.delete(name);
		}
	}
}

/** The capacity of all workers that the registry lists. */
function sumCapacity({workers}: SchedulerState): Resources {
	let sum = noResources;
	for (const worker of workers.values()) {
		sum = worker.isListed ? addResources(sum, worker.capacity) : sum;
	}

	return sum;
}

/** Inputs of the shares, computed once for each pass. Jobs without an account count as one account; it and accounts that the configuration no longer has get the mean weight. */
type ShareBase = {readonly capacity: Resources; readonly meanWeight: number};

function createShareBase(state: SchedulerState): ShareBase {
	const accounts = state.config?.accounts ?? [];
	let sum = 0;
	for (const {weight} of accounts) {
		sum += weight;
	}

	return {capacity: sumCapacity(state), meanWeight: sum / Math.max(1, accounts.length)};
}

/** The weighted dominant share: the highest ratio of use to fleet capacity over all resources, divided by the weight. An account without weight comes last. */
function computeShare(state: SchedulerState, name: AccountName, {capacity, meanWeight}: ShareBase): number {
	const weight = findAccount(state.config, name)?.weight ?? meanWeight;
	return weight > 0 ? computeDominantShare(getAccountUse(state, name), capacity) / weight : Number.POSITIVE_INFINITY;
}

/** The waiting steps of one account, in the order of arrival; `next` is the first that has not had its turn. */
type AccountQueue = {readonly account: AccountName; readonly steps: Urgency[]; next: number; share: number};

function compareQueues(a: AccountQueue, b: AccountQueue): number {
	// Equal shares may both be infinite, so they are not subtracted.
	return a.share === b.share ? a.steps[a.next]!.acceptedAt - b.steps[b.next]!.acceptedAt : (a.share < b.share ? -1 : 1);
}

/**
 * Yields steps in the order in which they get their turn. `sorted` has them by class and arrival; within a class the account
 * with the lowest share goes next, and its share is computed again once the caller has placed what it can of the step.
 */
export function * orderByShare(state: SchedulerState, sorted: readonly Urgency[]): Iterable<Urgency> {
	const base = createShareBase(state);
	let start = 0;
	while (start < sorted.length) {
		let end = start + 1;
		while (end < sorted.length && compareClass(sorted[start]!, sorted[end]!) === 0) {
			end++;
		}

		yield * orderClass(state, sorted.slice(start, end), base);
		start = end;
	}
}

function * orderClass(state: SchedulerState, urgencies: readonly Urgency[], base: ShareBase): Iterable<Urgency> {
	const queues = new TinyQueue(groupByAccount(state, urgencies, base), compareQueues);
	for (let queue = queues.pop(); queue; queue = queues.pop()) {
		yield queue.steps[queue.next++]!;
		if (queue.next < queue.steps.length) {
			queue.share = computeShare(state, queue.account, base);
			queues.push(queue);
		}
	}
}

function groupByAccount(state: SchedulerState, urgencies: readonly Urgency[], base: ShareBase): AccountQueue[] {
	const queues = new Map<AccountName, AccountQueue>();
	for (const urgency of urgencies) {
		const account = urgency.step.occurrence.job.definition.account ?? noAccount;
		const queue = queues.get(account);
		if (queue) {
			queue.steps.push(urgency);
		} else {
			queues.set(account, {
				account, steps: [urgency], next: 0, share: computeShare(state, account, base),
			});
		}
	}

	return [...queues.values()];
}

/** What an account has running, and its weighted dominant share. */
export type AccountStatus = {readonly account: string; readonly use: Resources; readonly share: number};

/** The accounts of the configuration with what they have running: the `most` with the highest shares by name, the rest as `other`. */
export function listAccountShares(state: SchedulerState, most: number): AccountStatus[] {
	if (state.leadership.role !== 'leader') {
		return [];
	}

	const base = createShareBase(state);
	const accounts: AccountStatus[] = (state.config?.accounts ?? []).map(({name}) => ({account: name, use: getAccountUse(state, name), share: computeShare(state, name, base)}));
	const sorted = accounts.toSorted((a, b) => a.share === b.share ? 0 : (a.share < b.share ? 1 : -1));
	const rest = sorted.slice(most);
	if (rest.length === 0) {
		return sorted;
	}

	let use = noResources;
	for (const account of rest) {
		use = addResources(use, account.use);
	}

	return [...sorted.slice(0, most), {account: 'other', use, share: rest[0]!.share}];
}
