/** Chooses workers for waiting jobs: by class, then fairly between teams, each on the worker with the tightest fit (best fit). */
import type {FleetState} from '../fleet/state.js';
import type {HostId, JobId, TeamId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {jobClasses} from './bodies.js';
import {
	isWithinQuota, groupByPool, sumReservedByTeam, type ReservedResources,
} from './by-pool.js';
import {hasRunLeft} from './validation.js';
import type {Job} from './state.js';
import {
	doesFit, estimateSize, maximumMemoryShare, type JobSize,
} from './use.js';

/** The declared capacity of a worker, and the last reported use of its tasks. */
export type WorkerCapacity = {
	readonly worker: HostId;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
	/** As reported by the platform, with a delay. */
	readonly usedCores: number;
	readonly usedMemoryBytes: number;
	/** Position of the worker among the hosts that a wave takes out next, starting at 0; undefined if no wave is waiting to take it out. */
	readonly dueRank?: number | undefined;
};

export type Placement = {readonly job: Job; readonly worker: HostId};

/** The outcome of planning. Unplaceable jobs exceed the total capacity of every worker of their pool, so they are parked. */
export type PlacementPlan = {
	readonly placements: readonly Placement[];
	readonly unplaceable: ReadonlyArray<{readonly job: Job; readonly reason: string}>;
	/** Urgent jobs that fit on no worker at present. */
	readonly unplacedUrgent: readonly Job[];
};

/** Share of the total cores of a pool's available workers that is kept free for urgent jobs. */
const urgentReserve = 0.1;

type FreeCapacity = {
	readonly worker: HostId;
	readonly capacity: WorkerCapacity;
	cores: number;
	memoryBytes: number;
	accelerators: number;
};

/** Local knowledge of the planner that is not part of the replicated fleet state. */
export type PlacementHints = {
	/** Highest observed memory use of jobs that exceeded their declared memory. */
	readonly observedMemory: ReadonlyMap<JobId, number>;
	/** Workers on which tasks are being displaced; until those have ended only urgent jobs are placed there. */
	readonly urgentOnlyWorkers: ReadonlySet<HostId>;
};

/** Plans the next attempts of all waiting jobs. */
export function planPlacements(fleet: FleetState, capacities: readonly WorkerCapacity[], hints: PlacementHints, now: Instant): PlacementPlan {
	const all = buildFreeCapacities(fleet, capacities, now);
	const forUrgent = groupByPool(fleet, all);
	const forOthers = groupByPool(fleet, all.filter(free => !hints.urgentOnlyWorkers.has(free.worker)));
	const workers = groupByPool(fleet, capacities);
	const reserved = sumReservedByTeam(fleet);
	const placements: Placement[] = [];
	const unplaceable: Array<{job: Job; reason: string}> = [];
	const unplacedUrgent: Job[] = [];
	for (const job of sortWaitingJobs(fleet, reserved)) {
		const size = estimateSize(job, hints.observedMemory);
		const reason = describeUnplaceable(workers.get(job.body.pool) ?? [], job, size);
		if (reason !== undefined) {
			unplaceable.push({job, reason});
			continue;
		}

		const teamReserved: ReservedResources = reserved.get(job.body.team) ?? {cores: 0, accelerators: 0};
		reserved.set(job.body.team, teamReserved);
		if (!isWithinQuota(fleet, job, teamReserved)) {
			continue;
		}

		const candidates = job.body.jobClass === 'urgent' ? forUrgent : forOthers;
		const chosen = chooseWorker(candidates.get(job.body.pool) ?? [], job, size);
		if (chosen) {
			reserveCapacity(chosen, size);
			teamReserved.cores += job.body.cores;
			teamReserved.accelerators += job.body.accelerators;
			placements.push({job, worker: chosen.worker});
		} else if (job.body.jobClass === 'urgent') {
			unplacedUrgent.push(job);
		}
	}

	return {placements, unplaceable, unplacedUrgent};
}

/** Waiting jobs by class; within a class the team with the fewest reserved cores goes first, then the oldest job. */
function sortWaitingJobs(fleet: FleetState, reserved: ReadonlyMap<TeamId, ReservedResources>): Job[] {
	const waiting = [...fleet.jobs.jobs.values()].filter(job => job.step === 'waiting' && hasRunLeft(job));
	return waiting.toSorted((a, b) =>
		jobClasses.indexOf(a.body.jobClass) - jobClasses.indexOf(b.body.jobClass)
		|| (reserved.get(a.body.team)?.cores ?? 0) - (reserved.get(b.body.team)?.cores ?? 0)
		|| a.offset - b.offset);
}

/** Why a job fits on no worker of the pool, even an empty one; undefined if it fits on some worker or no worker of the pool is known. */
function describeUnplaceable(ofPool: readonly WorkerCapacity[], {body}: Job, size: JobSize): string | undefined {
	if (ofPool.length === 0 || ofPool.some(capacity => doesFit(size, capacity))) {
		return undefined;
	}

	return `no worker of pool ${body.pool} has ${size.cores} cores, ${size.memoryBytes} bytes of memory and ${size.accelerators} accelerators`;
}

function buildFreeCapacities(fleet: FleetState, capacities: readonly WorkerCapacity[], now: Instant): FreeCapacity[] {
	const declared = sumDeclared(fleet);
	return capacities.filter(({worker}) => isWorkerAvailable(fleet, worker, now)).map(capacity => {
		const reserved = declared.get(capacity.worker) ?? {cores: 0, memoryBytes: 0, accelerators: 0};
		return {
			worker: capacity.worker,
			capacity,
			cores: capacity.cores - Math.max(reserved.cores, capacity.usedCores),
			memoryBytes: capacity.memoryBytes - Math.max(reserved.memoryBytes, capacity.usedMemoryBytes),
			accelerators: capacity.accelerators - reserved.accelerators,
		};
	});
}

/** Whether a worker may get an attempt now: it is known, in service, up and not in quarantine. */
export function isWorkerAvailable(fleet: FleetState, worker: HostId, now: Instant): boolean {
	const host = fleet.hosts.get(worker);
	const setAsideUntil = fleet.jobs.workers.get(worker)?.setAsideUntil ?? 0;
	return host !== undefined && !host.chain && !host.isDown && setAsideUntil <= now;
}

type Declared = {cores: number; memoryBytes: number; accelerators: number};

/** Total declared resources of the running jobs of each worker. */
function sumDeclared(fleet: FleetState): Map<HostId, Declared> {
	const sums = new Map<HostId, Declared>();
	for (const {body, current} of fleet.jobs.jobs.values()) {
		if (current) {
			const sum = sums.get(current.worker) ?? {cores: 0, memoryBytes: 0, accelerators: 0};
			sum.cores += body.cores;
			sum.memoryBytes += body.memoryBytes;
			sum.accelerators += body.accelerators;
			sums.set(current.worker, sum);
		}
	}

	return sums;
}

/**
 * The worker with the tightest fit for a job. Workers on which it failed come last; free accelerators and the order of
 * a wave's outages weigh before free cores.
 */
function chooseWorker(ofPool: readonly FreeCapacity[], job: Job, size: JobSize): FreeCapacity | undefined {
	const coresForNonUrgent = computeCoresForNonUrgent(ofPool, job);
	const fitting = ofPool.filter(free => doesFit(size, free) && hasMemoryMargin(free, job, size));
	if (job.body.jobClass !== 'urgent' && job.body.cores > coresForNonUrgent) {
		return undefined;
	}

	return fitting.toSorted((a, b) =>
		Number(job.failedOn.includes(a.worker)) - Number(job.failedOn.includes(b.worker))
		|| a.accelerators - b.accelerators
		|| compareByDueRank(job, a, b)
		|| a.cores - b.cores).at(0);
}

/** A job that has used more memory than it declares is placed only where it would not be displaced again for that. */
function hasMemoryMargin({capacity, memoryBytes}: FreeCapacity, {body}: Job, size: JobSize): boolean {
	const isEmpty = memoryBytes === capacity.memoryBytes;
	const margin = capacity.memoryBytes * (1 - maximumMemoryShare);
	return size.memoryBytes <= body.memoryBytes || isEmpty || memoryBytes - size.memoryBytes >= margin;
}

/** Non-resumable jobs go to the hosts whose outage is furthest away; resumable ones go to the hosts that are due first and keep the others free. */
function compareByDueRank(job: Job, a: FreeCapacity, b: FreeCapacity): number {
	const one = a.capacity.dueRank ?? Number.MAX_SAFE_INTEGER;
	const other = b.capacity.dueRank ?? Number.MAX_SAFE_INTEGER;
	return job.body.isResumable ? one - other : other - one;
}

/** Cores of a pool that are still available to non-urgent jobs. A pool with a single worker keeps no reserve for urgent jobs. */
function computeCoresForNonUrgent(ofPool: readonly FreeCapacity[], job: Job): number {
	const all = ofPool.reduce((sum, worker) => sum + worker.capacity.cores, 0);
	const free = ofPool.reduce((sum, worker) => sum + Math.max(0, worker.cores), 0);
	const reserve = ofPool.length > 1 ? Math.min(all * urgentReserve, all - job.body.cores) : 0;
	return free - reserve;
}

function reserveCapacity(free: FreeCapacity, size: JobSize): void {
	free.cores -= size.cores;
	free.memoryBytes -= size.memoryBytes;
	free.accelerators -= size.accelerators;
}
