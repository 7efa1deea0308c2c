/** Frees capacity for urgent jobs by displacing the fewest resumable tasks of the lowest class. Freed capacity is reserved for a single urgent job. */
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import {estimateLogTime} from '../planner/leadership.js';
import {isWorkerAvailable, type PlacementPlan, type WorkerCapacity} from './placement.js';
import {
	compareLowestFirst, displaceTask, isDisplaced, type RunningJob,
} from './runner.js';
import {doesFit, estimateSize, type JobSize} from './use.js';

/** A worker as expected once the tasks already being displaced have ended and the planned placements have started. */
type WorkerForecast = {
	readonly worker: HostId;
	free: JobSize;
	/** Tasks that may be displaced, in this order. */
	candidates: RunningJob[];
};

type DisplacementPlan = {readonly forecast: WorkerForecast; readonly displaced: readonly RunningJob[]; readonly freed: JobSize};

/** Displaces tasks so that each urgent job without a placement fits on a worker, where that is possible. */
export function displaceForUrgent(state: State, running: readonly RunningJob[], plan: PlacementPlan, capacities: readonly WorkerCapacity[]): Effect[] {
	if (plan.unplacedUrgent.length === 0) {
		return [];
	}

	const forecasts = capacities.map(capacity => createForecast(state, running, plan, capacity));
	return plan.unplacedUrgent.flatMap(job => {
		const size = estimateSize(job, state.jobRunner.observedMemory);
		const displacementPlan = forecasts
			.filter(({worker}) => state.fleet.hosts.get(worker)?.pool === job.body.pool && isWorkerAvailable(state.fleet, worker, estimateLogTime(state)))
			.map(forecast => findDisplacementPlan(forecast, size))
			.filter(found => found !== undefined)
			.toSorted((a, b) => a.displaced.length - b.displaced.length)
			.at(0);
		return displacementPlan ? applyDisplacementPlan(state, displacementPlan, size) : [];
	});
}

/** Workers with tasks that are being displaced. The capacity freed there is for urgent jobs only. */
export function listUrgentOnlyWorkers(state: State, running: readonly RunningJob[]): Set<HostId> {
	return new Set(running.filter(item => isDisplaced(state, item)).map(({current}) => current.worker));
}

function createForecast(state: State, running: readonly RunningJob[], plan: PlacementPlan, capacity: WorkerCapacity): WorkerForecast {
	const {worker} = capacity;
	const staying = running.filter(item => item.current.worker === worker && !isDisplaced(state, item));
	const planned = plan.placements.filter(placement => placement.worker === worker).map(({job}) => job);
	let free: JobSize = capacity;
	for (const {body} of [...staying.map(({job}) => job), ...planned]) {
		free = computeRemaining(free, body);
	}

	return {
		worker,
		free,
		candidates: staying.filter(({job}) => job.body.isResumable && job.body.jobClass !== 'urgent').toSorted(compareLowestFirst),
	};
}

/** The fewest tasks to displace so that a job fits; undefined if displacing all candidates would not suffice. */
function findDisplacementPlan(forecast: WorkerForecast, size: JobSize): DisplacementPlan | undefined {
	let freed = forecast.free;
	for (let count = 0; count <= forecast.candidates.length; count++) {
		if (doesFit(size, freed)) {
			return {forecast, displaced: forecast.candidates.slice(0, count), freed};
		}

		const next = forecast.candidates[count];
		freed = next ? add(freed, next.job.body) : freed;
	}

	return undefined;
}

function applyDisplacementPlan(state: State, {forecast, displaced, freed}: DisplacementPlan, size: JobSize): Effect[] {
	forecast.free = computeRemaining(freed, size);
	forecast.candidates = forecast.candidates.slice(displaced.length);
	return displaced.flatMap(item => displaceTask(state, item));
}

function add(a: JobSize, b: JobSize): JobSize {
	return {cores: a.cores + b.cores, memoryBytes: a.memoryBytes + b.memoryBytes, accelerators: a.accelerators + b.accelerators};
}

function computeRemaining(a: JobSize, b: JobSize): JobSize {
	return {cores: a.cores - b.cores, memoryBytes: a.memoryBytes - b.memoryBytes, accelerators: a.accelerators - b.accelerators};
}
