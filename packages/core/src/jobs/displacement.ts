/** Makes room for urgent jobs: the fewest resumable tasks of the lowest class give way, and room is promised to one urgent job only. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {estimateLogTime} from '../planner/leadership.js';
import {isWorkerOpen, type PlacementPlan, type WorkerCapacity} from './placement.js';
import {
	compareLowestFirst, displaceTask, isDisplaced, type RunningJob,
} from './runner.js';
import {doesFit, estimateSize, type JobSize} from './usage.js';

/** A worker as it will be once the tasks that already give way have ended and what is planned has started. */
type Prospect = {
	readonly worker: HostId;
	free: JobSize;
	/** Tasks that may give way, in that order. */
	candidates: RunningJob[];
};

type Clearance = {readonly prospect: Prospect; readonly displaced: readonly RunningJob[]; readonly freed: JobSize};

/** Displaces tasks until each crowded-out urgent job has room on some worker. */
export function displaceForUrgent(state: State, running: readonly RunningJob[], plan: PlacementPlan, capacities: readonly WorkerCapacity[]): Effect[] {
	if (plan.crowdedOut.length === 0) {
		return [];
	}

	const prospects = capacities.map(capacity => createProspect(state, running, plan, capacity));
	return plan.crowdedOut.flatMap(job => {
		const size = estimateSize(job, state.jobRunner.seenMemory);
		const clearance = prospects
			.filter(({worker}) => state.fleet.hosts.get(worker)?.pool === job.body.pool && isWorkerOpen(state.fleet, worker, estimateLogTime(state)))
			.map(prospect => findClearance(prospect, size))
			.filter(found => found !== undefined)
			.toSorted((a, b) => a.displaced.length - b.displaced.length)
			.at(0);
		return clearance ? takeClearance(state, clearance, size) : [];
	});
}

/** The workers with tasks that give way; what they free is not for other classes. */
export function listClearedWorkers(state: State, running: readonly RunningJob[]): Set<HostId> {
	return new Set(running.filter(item => isDisplaced(state, item)).map(({current}) => current.worker));
}

function createProspect(state: State, running: readonly RunningJob[], plan: PlacementPlan, capacity: WorkerCapacity): Prospect {
	const {worker} = capacity;
	const staying = running.filter(item => item.current.worker === worker && !isDisplaced(state, item));
	const planned = plan.placements.filter(placement => placement.worker === worker).map(({job}) => job);
	let free: JobSize = capacity;
	for (const {body} of [...staying.map(({job}) => job), ...planned]) {
		free = computeRest(free, body);
	}

	return {
		worker,
		free,
		candidates: staying.filter(({job}) => job.body.isResumable && job.body.jobClass !== 'urgent').toSorted(compareLowestFirst),
	};
}

/** The fewest tasks whose end would make room; nothing if all of them would not. */
function findClearance(prospect: Prospect, size: JobSize): Clearance | undefined {
	let freed = prospect.free;
	for (let count = 0; count <= prospect.candidates.length; count++) {
		if (doesFit(size, freed)) {
			return {prospect, displaced: prospect.candidates.slice(0, count), freed};
		}

		const next = prospect.candidates[count];
		freed = next ? add(freed, next.job.body) : freed;
	}

	return undefined;
}

function takeClearance(state: State, {prospect, displaced, freed}: Clearance, size: JobSize): Effect[] {
	prospect.free = computeRest(freed, size);
	prospect.candidates = prospect.candidates.slice(displaced.length);
	return displaced.flatMap(item => displaceTask(state, item));
}

function add(a: JobSize, b: JobSize): JobSize {
	return {cores: a.cores + b.cores, memoryBytes: a.memoryBytes + b.memoryBytes, accelerators: a.accelerators + b.accelerators};
}

function computeRest(a: JobSize, b: JobSize): JobSize {
	return {cores: a.cores - b.cores, memoryBytes: a.memoryBytes - b.memoryBytes, accelerators: a.accelerators - b.accelerators};
}
