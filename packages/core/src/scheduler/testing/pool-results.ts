/** What became of the jobs of the pools of a model, and what their machines cost. */
import type {PoolName} from '../types.js';
import type {LoadedJob} from './pool-load.js';

export const stretch = 1.6;
export const latencyTargetMs = 600;
/** Later than this many times the objective, a result is of no use. */
const usefulFactor = 3;

export type PoolResult = {inTime: number; late: number; useless: number; machineMs: number};

export function createResult(): PoolResult {
	return {
		inTime: 0, late: 0, useless: 0, machineMs: 0,
	};
}

/** Counts a job that has ended, by its objective. */
export function noteJobResult(result: PoolResult, {runMs}: LoadedJob, tookMs: number): void {
	const objectiveMs = (stretch * runMs.reduce((sum, tasks) => sum + Math.max(...tasks), 0)) + latencyTargetMs;
	if (tookMs <= objectiveMs) {
		result.inTime++;
	} else if (tookMs <= objectiveMs * usefulFactor) {
		result.late++;
	} else {
		result.useless++;
	}
}

/** Sums the results of all pools, or of one. */
export function sumPoolResults(results: ReadonlyMap<PoolName, PoolResult>, only?: PoolName): PoolResult {
	const sum = createResult();
	for (const [pool, result] of results) {
		for (const name of ['inTime', 'late', 'useless', 'machineMs'] as const) {
			sum[name] += only === undefined || only === pool ? result[name] : 0;
		}
	}

	return sum;
}
