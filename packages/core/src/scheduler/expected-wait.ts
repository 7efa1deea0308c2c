/**
 * How long a job that arrives now would wait, for each pool and priority: the work ahead of it in the order of placement,
 * over the capacity that is available and coming. The leader computes it from its state.
 */
import {isQuarantined} from './health.js';
import {getReturnAt} from './machines.js';
import {countWaitingTasks} from './occurrences.js';
import {getPoolOfJob} from './queues.js';
import {
	addResources, computeDominantShare, doesFit, noResources, resourceNames,
} from './resources.js';
import {estimateRunMs} from './run-estimate.js';
import {getFree, getNeed, getStepNeed} from './tasks.js';
import {computeUrgency} from './urgency.js';
import type {
	FleetConfig, PoolName, PoolWait, Resources, SteadyMs,
} from './types.js';
import type {
	Job, SchedulerState, Task, Worker,
} from './state.js';

/** Share of a pool's capacity that tasks fill in practice; below it, there is room for a job that fits somewhere. */
const usableShare = 0.85;
/** Shorter waits are not published: they are over before a host reads them. */
const minWaitMs = 50;
/** Longer waits are published as this. */
const maxWaitMs = 60_000;
/** Share of the capacity that the estimate leaves to late jobs whatever the rate of arrivals, because bursts end. */
const minShareLeft = 0.1;

/** Work in resources times milliseconds, and whether one of its tasks could start now if there were capacity. */
type Backlog = {work: Resources; hasWaiting: boolean};
type Backlogs = Map<number, Backlog>;

type PoolLoad = {
	/** Of the serving workers, less their long-running tasks. */
	capacity: Resources;
	used: Resources;
	/** The most of each resource that is free at any one worker. */
	largestFree: Resources;
	/** Remaining work of the short tasks that are assigned. */
	running: Resources;
	/** Some waiting task fits no serving worker. */
	isShortOfRoom: boolean;
	/** By priority: jobs that are in progress or can meet their objective, jobs that cannot, and excess jobs. */
	readonly timely: Backlogs;
	readonly late: Backlogs;
	readonly excess: Backlogs;
	readonly coming: Array<{readonly at: SteadyMs; readonly capacity: Resources}>;
};

/** The waits of at least `minWaitMs`. Pools without a serving worker have no figure, as their capacity is not known. */
export function computeWaits(state: SchedulerState): PoolWait[] {
	if (state.openSteps.size === 0 || !state.config) {
		return [];
	}

	const loads = new Map<PoolName, PoolLoad>();
	const assignedJobs = new Set<Job>();
	for (const worker of state.workers.values()) {
		if (isServing(state, worker)) {
			addWorker(state, getLoad(loads, worker.pool), worker, assignedJobs);
		}
	}

	addWaitingJobs(state, loads, assignedJobs);
	addComingMachines(state, loads);
	const {config} = state;
	const known = [...loads].filter(([, {capacity}]) => computeDominantShare(capacity, capacity) > 0);
	return known.flatMap(([pool, load]) => listPriorities(config, pool).flatMap(priority => computeWait(state, pool, load, priority) ?? []));
}

/** A worker that is paused for a moment after a refusal counts, unlike in placement. */
function isServing(state: SchedulerState, worker: Worker): boolean {
	return worker.isListed && worker.isPolledByLeader && !worker.isDraining && !worker.isReserved && worker.failedPolls === 0 && !isQuarantined(state, worker);
}

function getLoad(loads: Map<PoolName, PoolLoad>, pool: PoolName): PoolLoad {
	let load = loads.get(pool);
	if (!load) {
		load = {
			capacity: noResources, used: noResources, largestFree: noResources, running: noResources, isShortOfRoom: false, timely: new Map(), late: new Map(), excess: new Map(), coming: [],
		};
		loads.set(pool, load);
	}

	return load;
}

function addWorker(state: SchedulerState, load: PoolLoad, worker: Worker, assignedJobs: Set<Job>): void {
	load.capacity = addResources(load.capacity, worker.capacity);
	for (const task of worker.tasks.values()) {
		const need = getNeed(task);
		if (task.step.definition.isLongRunning) {
			load.capacity = addResources(load.capacity, need, -1);
		} else {
			assignedJobs.add(task.step.occurrence.job);
			load.used = addResources(load.used, need);
			load.running = addResources(load.running, need, estimateRemainingMs(state, task));
		}
	}

	const free = getFree(worker);
	const {largestFree} = load;
	load.largestFree = {cpu: Math.max(free.cpu, largestFree.cpu), memoryMb: Math.max(free.memoryMb, largestFree.memoryMb), gpu: Math.max(free.gpu, largestFree.gpu)};
}

function estimateRemainingMs(state: SchedulerState, task: Task): number {
	const {number, occurrence} = task.step;
	const runMs = estimateRunMs(state, occurrence.job.definition, number);
	return Math.max(0, task.status === 'running' ? runMs - (state.now - task.startedAt) : runMs);
}

function addWaitingJobs(state: SchedulerState, loads: Map<PoolName, PoolLoad>, assignedJobs: Set<Job>): void {
	const seen = new Set<Job>();
	for (const step of state.openSteps) {
		const {job} = step.occurrence;
		const load = getLoad(loads, getPoolOfJob(state, job));
		load.isShortOfRoom ||= !step.definition.isLongRunning && !doesFit(getStepNeed(step.definition), load.largestFree);
		if (!seen.has(job)) {
			seen.add(job);
			const {priority, isObjectiveUnreachable} = computeUrgency(state, step);
			const inTime = isObjectiveUnreachable ? load.late : load.timely;
			addJob(state, job.isExcess ? load.excess : inTime, priority, job);
		}
	}

	// Jobs whose open tasks are all assigned have no open step, but may have later steps.
	for (const job of assignedJobs) {
		const step = [...job.live?.occurrences.values() ?? []][0]?.steps[0];
		if (step && !seen.has(job)) {
			const load = getLoad(loads, getPoolOfJob(state, job));
			addJob(state, job.isExcess ? load.excess : load.timely, computeUrgency(state, step).priority, job);
		}
	}
}

function addJob(state: SchedulerState, backlogs: Backlogs, priority: number, job: Job): void {
	const backlog = backlogs.get(priority) ?? {work: noResources, hasWaiting: false};
	backlogs.set(priority, backlog);
	for (const {isDue, steps} of job.live?.occurrences.values() ?? []) {
		for (const step of isDue ? steps : []) {
			const {definition} = step;
			const waiting = definition.isLongRunning ? 0 : countWaitingTasks(step);
			if (waiting > 0) {
				backlog.work = addResources(backlog.work, getStepNeed(definition), waiting * estimateRunMs(state, job.definition, step.number));
				backlog.hasWaiting ||= state.openSteps.has(step);
			}
		}
	}
}

/** Machines on their way to a pool. */
function addComingMachines(state: SchedulerState, loads: Map<PoolName, PoolLoad>): void {
	for (const machine of state.machines.values()) {
		const {order, entry} = machine;
		if (order?.type === 'move' && !order.isReserving) {
			const at = order.confirmedAt === undefined ? state.now + state.settings.moveMs : getReturnAt(state, machine);
			getLoad(loads, order.pool).coming.push({at: Math.max(at, state.now), capacity: entry.capacity});
		}
	}

	for (const {coming} of loads.values()) {
		coming.sort((a, b) => a.at - b.at);
	}
}

function computeWait(state: SchedulerState, pool: PoolName, load: PoolLoad, priority: number): PoolWait | undefined {
	const isFull = computeDominantShare(load.used, load.capacity) >= usableShare;
	if (!load.isShortOfRoom && !isFull) {
		return undefined;
	}

	const {timely, late, excess} = load;
	const rate = state.load.arrivedWork.get(pool)?.rate ?? noResources;
	const higher = (other: number) => other < priority;
	const upTo = (other: number) => other <= priority;
	const all = () => true;
	const first = mergeBacklogs([timely, upTo], [late, higher]);
	const second = mergeBacklogs([timely, upTo], [late, upTo]);
	const wait: PoolWait = {
		pool,
		priority,
		startMs: computeDrainMs(state, load, first, noResources),
		backlogMs: computeDrainMs(state, load, second, noResources),
		delayMs: computeDrainMs(state, load, second, rate),
		excessMs: computeDrainMs(state, load, mergeBacklogs([timely, all], [late, all], [excess, upTo]), rate),
		...(!isFull && {room: load.largestFree}),
	};
	return wait.startMs + wait.delayMs + wait.excessMs > 0 ? wait : undefined;
}

function mergeBacklogs(...parts: ReadonlyArray<readonly [Backlogs, (priority: number) => boolean]>): Backlog {
	const merged: Backlog = {work: noResources, hasWaiting: false};
	for (const [backlogs, isAhead] of parts) {
		for (const [priority, {work, hasWaiting}] of backlogs) {
			if (isAhead(priority)) {
				merged.work = addResources(merged.work, work);
				merged.hasWaiting ||= hasWaiting;
			}
		}
	}

	return merged;
}

/**
 * How long the pool takes for its assigned tasks and a backlog; 0 if no task of the backlog waits for capacity. `overtaking`:
 * resources that later arrivals which go before the backlog keep busy.
 */
function computeDrainMs(state: SchedulerState, {capacity, coming, running}: PoolLoad, {work, hasWaiting}: Backlog, overtaking: Resources): number {
	if (!hasWaiting) {
		return 0;
	}

	const total = addResources(work, running);
	const drainMs = Math.max(...resourceNames.map(name => computeResourceDrainMs(total[name], {
		capacity: capacity[name] * usableShare, overtaking: overtaking[name], coming: coming.map(machine => ({inMs: machine.at - state.now, more: machine.capacity[name] * usableShare})),
	})));
	return drainMs < minWaitMs ? 0 : Math.round(Math.min(maxWaitMs, drainMs));
}

type Drain = {readonly capacity: number; readonly overtaking: number; readonly coming: ReadonlyArray<{readonly inMs: number; readonly more: number}>};

function computeResourceDrainMs(work: number, {capacity, overtaking, coming}: Drain): number {
	let left = work;
	let present = capacity;
	let nowMs = 0;
	const getRate = () => Math.max(present * minShareLeft, present - overtaking);
	for (const {inMs, more} of coming) {
		const done = getRate() * (inMs - nowMs);
		if (done >= left) {
			break;
		}

		left -= done;
		nowMs = inMs;
		present += more;
	}

	if (left <= 0) {
		return 0;
	}

	return present > 0 ? nowMs + (left / getRate()) : Number.POSITIVE_INFINITY;
}

const priorities = new WeakMap<FleetConfig, ReadonlyMap<PoolName, readonly number[]>>();

/** The priorities of the queues that a pool serves. Queues of one pool and priority have the same wait. */
function listPriorities(config: FleetConfig, pool: PoolName): readonly number[] {
	let byPool = priorities.get(config);
	if (!byPool) {
		const collected = new Map<PoolName, Set<number>>();
		for (const queue of config.queues) {
			collected.set(queue.pool, (collected.get(queue.pool) ?? new Set()).add(queue.priority));
		}

		byPool = new Map([...collected].map(([name, found]) => [name, [...found]]));
		priorities.set(config, byPool);
	}

	return byPool.get(pool) ?? [];
}
