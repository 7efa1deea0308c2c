/**
 * Demand by turns: each pool in its time is asked for several times its mean, for some seconds, and for little in between.
 *
 * The work that arrives is followed over a short time, so that machines are fetched when a pool's turn begins
 * rather than when its queue has grown; the highest need of the last seconds is kept, so that they are not sent
 * away in a short lull.
 */
import {getPoolOfJob} from './queues.js';
import type {PoolName} from './types.js';
import type {Job, PoolDemand, SchedulerState} from './state.js';

/** Weight of the latest look in the followed rate. */
const latestWeight = 0.35;
/** Room above the followed rate, for its random ups. */
const headroom = 1.15;
/** Share of a machine's processor that tasks can really fill. */
const fillShare = 0.85;
/** Waiting work is to be gone within this time. */
const clearMs = 1500;
/** How long the highest need is kept. */
const keepMs = 3000;

/** The demand of a pool, kept between looks. */
export function getDemand(state: SchedulerState, pool: PoolName): PoolDemand {
	let demand = state.demand.get(pool);
	if (!demand) {
		demand = {
			waitingCpu: 0, waitingTasks: 0, waitingWork: 0, arrivedWork: 0, rate: 0, lookedAt: state.now, machines: 0, keptMachines: 0, keptUntil: 0, replacementUntil: 0,
		};
		state.demand.set(pool, demand);
	}

	return demand;
}

/** Counts the work of a job that has come; work is processor (thousandths of a core) times milliseconds. */
export function noteArrival(state: SchedulerState, job: Job): void {
	let work = 0;
	for (const step of job.definition.steps) {
		work += step.isLongRunning ? 0 : step.count * step.need.cpu * step.estimateMs;
	}

	getDemand(state, getPoolOfJob(state, job)).arrivedWork += work;
}

/** Follows the rate of arrivals, and works out how many machines of some size the pool needs. */
export function updateDemand(state: SchedulerState, pool: PoolName, machineCpu: number): PoolDemand {
	const demand = getDemand(state, pool);
	const elapsedMs = state.now - demand.lookedAt;
	if (elapsedMs <= 0 || machineCpu <= 0) {
		return demand;
	}

	demand.rate += ((demand.arrivedWork / elapsedMs) - demand.rate) * latestWeight;
	demand.arrivedWork = 0;
	demand.lookedAt = state.now;
	const neededCpu = (demand.rate * headroom) + (demand.waitingWork / clearMs) + sumLastingCpu(state, pool);
	demand.machines = Math.max(Math.ceil(neededCpu / (machineCpu * fillShare)), demand.waitingTasks > 0 ? countSpread(state, pool) : 0);
	if (demand.machines >= demand.keptMachines || state.now >= demand.keptUntil) {
		demand.keptMachines = demand.machines;
		demand.keptUntil = state.now + keepMs;
	}

	return demand;
}

/** Processor that long-running tasks of a pool hold or wait for. */
function sumLastingCpu(state: SchedulerState, pool: PoolName): number {
	let cpu = 0;
	for (const worker of state.workers.values()) {
		if (worker.pool !== pool) {
			continue;
		}

		for (const {step} of worker.tasks.values()) {
			cpu += step.definition.isLongRunning && !step.definition.isFiller ? step.definition.need.cpu : 0;
		}
	}

	return cpu;
}

/** Workers that the steps which wait must be spread over. */
function countSpread(state: SchedulerState, pool: PoolName): number {
	let most = 0;
	for (const step of state.openSteps) {
		const {count, maxPerWorker} = step.definition;
		if (maxPerWorker > 0 && getPoolOfJob(state, step.occurrence.job) === pool) {
			most = Math.max(most, Math.ceil(count / maxPerWorker));
		}
	}

	return most;
}
