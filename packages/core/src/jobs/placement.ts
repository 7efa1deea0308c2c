/** Chooses workers for waiting jobs: urgent first, then fair between teams, each on the worker that it fits most tightly. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, JobId, TeamId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {jobClasses} from './bodies.js';
import {
	isWithinQuota, listByPool, sumHeldByTeam, type Held,
} from './by-pool.js';
import {hasRunLeft} from './validation.js';
import type {Job} from './state.js';
import {
	doesFit, estimateSize, fullMemoryShare, type JobSize,
} from './usage.js';

/** What a worker declares, and what its tasks were last reported to use. */
export type WorkerCapacity = {
	readonly worker: HostId;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
	/** Reported by the platform, with a lag. */
	readonly usedCores: number;
	readonly usedMemoryBytes: number;
	/** How soon it is due in a wave, 0 being next; undefined if it is not. */
	readonly dueRank?: number | undefined;
};

export type Placement = {readonly job: Job; readonly worker: HostId};

/** A waiting job that has no place yet; it becomes parked if no worker of its pool could ever hold it. */
export type PlacementPlan = {
	readonly placements: readonly Placement[];
	readonly unplaceable: ReadonlyArray<{readonly job: Job; readonly reason: string}>;
	/** Urgent jobs for which there is no room now. */
	readonly crowdedOut: readonly Job[];
};

/** Share of a pool's cores that only urgent jobs may take. */
const urgentReserve = 0.1;

type Room = {
	readonly worker: HostId;
	readonly capacity: WorkerCapacity;
	cores: number;
	memoryBytes: number;
	accelerators: number;
};

/** What the planner knows beside the fold. */
export type PlacementNotes = {
	/** Memory that jobs were seen to use beyond what they declare. */
	readonly seenMemory: ReadonlyMap<JobId, number>;
	/** Workers on which tasks give way; only urgent jobs are placed there meanwhile. */
	readonly clearedWorkers: ReadonlySet<HostId>;
};

/** Plans the next attempts of all waiting jobs. */
export function planPlacements(fleet: FleetState, capacities: readonly WorkerCapacity[], notes: PlacementNotes, now: Instant): PlacementPlan {
	const all = buildRooms(fleet, capacities, now);
	const rooms = listByPool(fleet, all);
	const openRooms = listByPool(fleet, all.filter(room => !notes.clearedWorkers.has(room.worker)));
	const workers = listByPool(fleet, capacities);
	const held = sumHeldByTeam(fleet);
	const placements: Placement[] = [];
	const unplaceable: Array<{job: Job; reason: string}> = [];
	const crowdedOut: Job[] = [];
	for (const job of sortWaiting(fleet, held)) {
		const size = estimateSize(job, notes.seenMemory);
		const reason = describeMisfit(workers.get(job.body.pool) ?? [], job, size);
		if (reason !== undefined) {
			unplaceable.push({job, reason});
			continue;
		}

		const teamHeld: Held = held.get(job.body.team) ?? {cores: 0, accelerators: 0};
		held.set(job.body.team, teamHeld);
		if (!isWithinQuota(fleet, job, teamHeld)) {
			continue;
		}

		const candidates = job.body.jobClass === 'urgent' ? rooms : openRooms;
		const room = chooseRoom(candidates.get(job.body.pool) ?? [], job, size);
		if (room) {
			takeRoom(room, size);
			teamHeld.cores += job.body.cores;
			teamHeld.accelerators += job.body.accelerators;
			placements.push({job, worker: room.worker});
		} else if (job.body.jobClass === 'urgent') {
			crowdedOut.push(job);
		}
	}

	return {placements, unplaceable, crowdedOut};
}

/** Waiting jobs by class; within a class the team that holds least goes first, then the oldest. */
function sortWaiting(fleet: FleetState, held: ReadonlyMap<TeamId, Held>): Job[] {
	const waiting = [...fleet.jobs.jobs.values()].filter(job => job.step === 'waiting' && hasRunLeft(job));
	return waiting.toSorted((a, b) =>
		jobClasses.indexOf(a.body.jobClass) - jobClasses.indexOf(b.body.jobClass)
		|| (held.get(a.body.team)?.cores ?? 0) - (held.get(b.body.team)?.cores ?? 0)
		|| a.offset - b.offset);
}

/** Why no worker of the pool could ever hold a job, or nothing. A pool without known workers says nothing. */
function describeMisfit(ofPool: readonly WorkerCapacity[], {body}: Job, size: JobSize): string | undefined {
	if (ofPool.length === 0 || ofPool.some(capacity => doesFit(size, capacity))) {
		return undefined;
	}

	return `no worker of pool ${body.pool} has ${size.cores} cores, ${size.memoryBytes} bytes of memory and ${size.accelerators} accelerators`;
}

function buildRooms(fleet: FleetState, capacities: readonly WorkerCapacity[], now: Instant): Room[] {
	const declared = sumDeclared(fleet);
	return capacities.filter(({worker}) => isWorkerOpen(fleet, worker, now)).map(capacity => {
		const held = declared.get(capacity.worker) ?? {cores: 0, memoryBytes: 0, accelerators: 0};
		return {
			worker: capacity.worker,
			capacity,
			cores: capacity.cores - Math.max(held.cores, capacity.usedCores),
			memoryBytes: capacity.memoryBytes - Math.max(held.memoryBytes, capacity.usedMemoryBytes),
			accelerators: capacity.accelerators - held.accelerators,
		};
	});
}

/** Whether a worker may get an attempt now. */
export function isWorkerOpen(fleet: FleetState, worker: HostId, now: Instant): boolean {
	const host = fleet.hosts.get(worker);
	const setAsideUntil = fleet.jobs.workers.get(worker)?.setAsideUntil ?? 0;
	return host !== undefined && !host.chain && !host.isDown && setAsideUntil <= now;
}

type Declared = {cores: number; memoryBytes: number; accelerators: number};

/** What the running jobs of each worker declare. */
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

/** The room that a job fits most tightly; workers on which it failed come last, and before them those that a wave takes out soon. */
function chooseRoom(ofPool: readonly Room[], job: Job, size: JobSize): Room | undefined {
	const allowance = computeAllowance(ofPool, job);
	const fitting = ofPool.filter(room => doesFit(size, room) && hasMargin(room, job, size));
	if (job.body.jobClass !== 'urgent' && job.body.cores > allowance) {
		return undefined;
	}

	return fitting.toSorted((a, b) =>
		Number(job.failedOn.includes(a.worker)) - Number(job.failedOn.includes(b.worker))
		|| a.accelerators - b.accelerators
		|| compareDue(job, a, b)
		|| a.cores - b.cores).at(0);
}

/** A job that was seen to use more memory than it declares is placed only where it would not have to give way again. */
function hasMargin({capacity, memoryBytes}: Room, {body}: Job, size: JobSize): boolean {
	const isEmpty = memoryBytes === capacity.memoryBytes;
	const margin = capacity.memoryBytes * (1 - fullMemoryShare);
	return size.memoryBytes <= body.memoryBytes || isEmpty || memoryBytes - size.memoryBytes >= margin;
}

/** Jobs that must be let finish go where the next outage is furthest; resumable ones fill the hosts that are due first, and leave the others free. */
function compareDue(job: Job, a: Room, b: Room): number {
	const one = a.capacity.dueRank ?? Number.MAX_SAFE_INTEGER;
	const other = b.capacity.dueRank ?? Number.MAX_SAFE_INTEGER;
	return job.body.isResumable ? one - other : other - one;
}

/** Cores that jobs other than urgent ones may still take in a pool; a single worker keeps no reserve. */
function computeAllowance(rooms: readonly Room[], job: Job): number {
	const all = rooms.reduce((sum, room) => sum + room.capacity.cores, 0);
	const free = rooms.reduce((sum, room) => sum + Math.max(0, room.cores), 0);
	const reserve = rooms.length > 1 ? Math.min(all * urgentReserve, all - job.body.cores) : 0;
	return free - reserve;
}

function takeRoom(room: Room, size: JobSize): void {
	room.cores -= size.cores;
	room.memoryBytes -= size.memoryBytes;
	room.accelerators -= size.accelerators;
}
