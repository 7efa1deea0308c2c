/**
 * Divides machines among pools that ask for more than there are: each goes where most callers would be lost without it.
 *
 * A pool is first granted what arriving work needs, then what waiting jobs need to meet their objective, then the rest. Within
 * such a class the order is by priority, then by jobs a second that one machine serves, then by the share that a pool
 * already has of what it needs.
 */
import {getDemand} from './demand.js';
import type {FleetConfig, PoolName} from './types.js';
import type {SchedulerState} from './state.js';

/** What a pool asks for; each of its needs includes the one before. */
export type MachineClaim = {
	readonly pool: PoolName;
	/** The highest priority of its queues; 0 is the highest. */
	readonly priority: number;
	/** Jobs a second that one machine serves. */
	readonly jobsPerMachine: number;
	/** Machines that the pool has or is about to get. */
	readonly present: number;
	readonly needs: readonly [load: number, objective: number, all: number];
};

/** Each pool that needs machines gets as many of them before all others: without any, its jobs would not be served at all. */
const guaranteedMachines = 2;
/** A pool whose machines serve fewer jobs than those of the best pool by less than this factor counts as equal, so that noise does not decide. */
const equalFactor = 2;
/** Share of the machines that pools may be given that is kept for pools that ask for none yet, and how few are not shared so. */
const keptBackShare = 0.5;
const leastShared = 4;
/** For a pool with long-running tasks only. */
const leastJobsPerMachine = 1;
const lowestPriority = 9;

/** A pool with the machines that it has, or is about to get, and those that it lacks. */
type SharingPool = {readonly name: PoolName; readonly machines: number; missing: number};

/**
 * Limits what pools lack to the machines that there are, if several pools share them. As long as other pools ask for none, a part is
 * kept back until the next moves: bursts that begin at once are not noticed at once, and the first pool would take all.
 */
export function limitToAvailable(state: SchedulerState, pools: readonly SharingPool[], available: number): void {
	const wanting = pools.filter(({missing}) => missing > 0);
	const kept = wanting.length < pools.length && available > leastShared ? Math.floor(available * keptBackShare) : 0;
	if (pools.length < 2 || wanting.reduce((sum, {missing}) => sum + missing, 0) <= available - kept) {
		return;
	}

	const granted = allocateMachines(wanting.map(pool => createClaim(state, pool)), available - kept);
	for (const pool of wanting) {
		pool.missing = Math.min(pool.missing, granted.get(pool.name) ?? 0);
	}
}

function createClaim(state: SchedulerState, {name: pool, machines: present, missing}: SharingPool): MachineClaim {
	const {rate, loadMachines, objectiveMachines} = getDemand(state, pool);
	return {
		pool,
		priority: getPoolPriority(state.config!, pool),
		jobsPerMachine: rate.jobs * 1000 / Math.max(1, loadMachines),
		present,
		needs: [loadMachines, objectiveMachines, present + missing],
	};
}

/** The number of machines that each pool is granted, out of those available. */
export function allocateMachines(claims: readonly MachineClaim[], available: number): Map<PoolName, number> {
	const granted = new Map(claims.map(({pool}) => [pool, 0]));
	const ranked = rankClaims(claims);
	const classes = [
		(claim: MachineClaim) => Math.min(guaranteedMachines, claim.needs[2]),
		...([0, 1, 2] as const).map(index => (claim: MachineClaim) => claim.needs[index]),
	];
	let left = available;
	for (const getNeed of classes) {
		while (left > 0) {
			const next = findNext(ranked, granted, getNeed);
			if (!next) {
				break;
			}

			granted.set(next.pool, granted.get(next.pool)! + 1);
			left--;
		}
	}

	return granted;
}

/** The pool that the next machine of a class goes to. */
function findNext(claims: readonly RankedClaim[], granted: ReadonlyMap<PoolName, number>, getNeed: (claim: MachineClaim) => number): MachineClaim | undefined {
	let best: RankedClaim | undefined;
	for (const claim of claims) {
		const isShort = claim.present + granted.get(claim.pool)! < getNeed(claim);
		if (isShort && (!best || compareClaims(claim, best, granted) < 0)) {
			best = claim;
		}
	}

	return best;
}

function compareClaims(a: RankedClaim, b: RankedClaim, granted: ReadonlyMap<PoolName, number>): number {
	const computeFilled = ({pool, present, needs}: MachineClaim) => (present + granted.get(pool)!) / needs[0];
	return a.priority - b.priority
		|| a.rank - b.rank
		|| computeFilled(a) - computeFilled(b);
}

/** `rank`: how far the jobs that a machine serves are below those of the best pool; lower is better. */
type RankedClaim = MachineClaim & {readonly rank: number};

function rankClaims(claims: readonly MachineClaim[]): RankedClaim[] {
	const gains = claims.map(({jobsPerMachine}) => Math.max(jobsPerMachine, leastJobsPerMachine));
	const best = Math.max(...gains);
	return claims.map((claim, index) => ({...claim, rank: Math.floor(Math.log(best / gains[index]!) / Math.log(equalFactor))}));
}

const priorities = new WeakMap<FleetConfig, ReadonlyMap<PoolName, number>>();

/** The highest priority of the queues of a pool. */
export function getPoolPriority(config: FleetConfig, pool: PoolName): number {
	let byPool = priorities.get(config);
	if (!byPool) {
		const highest = new Map<PoolName, number>();
		for (const queue of config.queues) {
			highest.set(queue.pool, Math.min(queue.priority, highest.get(queue.pool) ?? lowestPriority));
		}

		byPool = highest;
		priorities.set(config, byPool);
	}

	return byPool.get(pool) ?? lowestPriority;
}
