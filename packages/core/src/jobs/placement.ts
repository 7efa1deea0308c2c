/** Chooses workers for waiting jobs: urgent first, then fair between teams, each on the worker that it fits most tightly. */
import type {FleetState} from '../fleet/state.js';
import type {HostId, JobId, TeamId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {jobClasses} from './bodies.js';
import {hasRunLeft, sumHeld} from './judge.js';
import type {Job} from './state.js';
import {
	doesFit, estimateSize, fullMemoryShare, type JobSize,
} from './use.js';

/** What a worker declares, and what its tasks were last reported to use. */
export type WorkerCapacity = {
	readonly worker: HostId;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
	/** Reported by the platform, with a lag. */
	readonly usedCores: number;
	readonly usedMemoryBytes: number;
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
	const rooms = buildRooms(fleet, capacities, now);
	const openRooms = rooms.filter(room => !notes.clearedWorkers.has(room.worker));
	const held = new Map<TeamId, {cores: number; accelerators: number}>();
	const placements: Placement[] = [];
	const unplaceable: Array<{job: Job; reason: string}> = [];
	const crowdedOut: Job[] = [];
	for (const job of sortWaiting(fleet)) {
		const size = estimateSize(job, notes.seenMemory);
		const reason = describeMisfit(fleet, capacities, job, size);
		if (reason !== undefined) {
			unplaceable.push({job, reason});
			continue;
		}

		const teamHeld = held.get(job.body.team) ?? sumHeld(fleet, job.body.team);
		held.set(job.body.team, teamHeld);
		if (!hasQuota(fleet, job, teamHeld)) {
			continue;
		}

		const room = chooseRoom(fleet, job.body.jobClass === 'urgent' ? rooms : openRooms, job, size);
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
function sortWaiting(fleet: FleetState): Job[] {
	const shares = new Map<TeamId, number>();
	const waiting = [...fleet.jobs.jobs.values()].filter(job => job.step === 'waiting' && hasRunLeft(job));
	for (const {body} of waiting) {
		if (!shares.has(body.team)) {
			shares.set(body.team, sumHeld(fleet, body.team).cores);
		}
	}

	return waiting.toSorted((a, b) =>
		jobClasses.indexOf(a.body.jobClass) - jobClasses.indexOf(b.body.jobClass)
		|| (shares.get(a.body.team) ?? 0) - (shares.get(b.body.team) ?? 0)
		|| a.offset - b.offset);
}

function hasQuota(fleet: FleetState, job: Job, held: {readonly cores: number; readonly accelerators: number}): boolean {
	const quota = fleet.jobs.quotas.get(job.body.team);
	return !quota || (held.cores + job.body.cores <= quota.cores && held.accelerators + job.body.accelerators <= quota.accelerators);
}

/** Why no worker of the pool could ever hold a job, or nothing. A pool without known workers says nothing. */
function describeMisfit(fleet: FleetState, capacities: readonly WorkerCapacity[], {body}: Job, size: JobSize): string | undefined {
	const ofPool = capacities.filter(({worker}) => fleet.hosts.get(worker)?.pool === body.pool);
	if (ofPool.length === 0 || ofPool.some(capacity => doesFit(size, capacity))) {
		return undefined;
	}

	return `no worker of pool ${body.pool} has ${size.cores} cores, ${size.memoryBytes} bytes of memory and ${size.accelerators} accelerators`;
}

function buildRooms(fleet: FleetState, capacities: readonly WorkerCapacity[], now: Instant): Room[] {
	return capacities.filter(({worker}) => isOpen(fleet, worker, now)).map(capacity => {
		const declared = sumDeclared(fleet, capacity.worker);
		return {
			worker: capacity.worker,
			capacity,
			cores: capacity.cores - Math.max(declared.cores, capacity.usedCores),
			memoryBytes: capacity.memoryBytes - Math.max(declared.memoryBytes, capacity.usedMemoryBytes),
			accelerators: capacity.accelerators - declared.accelerators,
		};
	});
}

function isOpen(fleet: FleetState, worker: HostId, now: Instant): boolean {
	const host = fleet.hosts.get(worker);
	const setAsideUntil = fleet.jobs.workers.get(worker)?.setAsideUntil ?? 0;
	return host !== undefined && !host.chain && !host.isDown && setAsideUntil <= now;
}

function sumDeclared(fleet: FleetState, worker: HostId): {cores: number; memoryBytes: number; accelerators: number} {
	const sum = {cores: 0, memoryBytes: 0, accelerators: 0};
	for (const job of fleet.jobs.jobs.values()) {
		if (job.current?.worker === worker) {
			sum.cores += job.body.cores;
			sum.memoryBytes += job.body.memoryBytes;
			sum.accelerators += job.body.accelerators;
		}
	}

	return sum;
}

/** The room that a job fits most tightly; workers on which it failed come last. */
function chooseRoom(fleet: FleetState, rooms: readonly Room[], job: Job, size: JobSize): Room | undefined {
	const ofPool = rooms.filter(room => fleet.hosts.get(room.worker)?.pool === job.body.pool);
	const allowance = computeAllowance(ofPool, job);
	const fitting = ofPool.filter(room => doesFit(size, room) && hasMargin(room, job, size));
	if (job.body.jobClass !== 'urgent' && job.body.cores > allowance) {
		return undefined;
	}

	return fitting.toSorted((a, b) =>
		Number(job.failedOn.includes(a.worker)) - Number(job.failedOn.includes(b.worker))
		|| a.accelerators - b.accelerators
		|| a.cores - b.cores).at(0);
}

/** A job that was seen to use more memory than it declares is placed only where it would not have to give way again. */
function hasMargin({capacity, memoryBytes}: Room, {body}: Job, size: JobSize): boolean {
	const isEmpty = memoryBytes === capacity.memoryBytes;
	const margin = capacity.memoryBytes * (1 - fullMemoryShare);
	return size.memoryBytes <= body.memoryBytes || isEmpty || memoryBytes - size.memoryBytes >= margin;
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
