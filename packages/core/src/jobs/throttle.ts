/** Throttles tasks on a worker whose tasks demand more cores than it has, and lifts the throttle when demand falls. */
import type {Effect} from '../types/effects.js';
import type {JobId} from '../types/ids.js';
import {compareLowestFirst, type RunningJob} from './runner.js';
import {estimateUnthrottledCores} from './use.js';

/** Even if throttling to the declared cores does not suffice, a task keeps at least this share of its declared cores. */
const minimumDeclaredShare = 0.5;
const shareSteps = 100;
/** Smallest increase of a task's share that is applied, so that noise in the reports causes no calls. An increase to the full share always is. */
const minimumIncrease = 0.05;

/** The throttle calls that bring a worker's tasks to their shares. Shares depend on the reports alone, so a lost call is repeated. */
export function throttleWorker(onWorker: readonly RunningJob[], cores: number): Effect[] {
	const shares = chooseShares(onWorker, cores);
	return onWorker.flatMap(({job, current, task}): Effect[] => {
		const share = shares.get(job.body.jobId) ?? 1;
		return task && isSignificantChange(task.throttle, share)
			? [{
				type: 'task/throttle', jobId: job.body.jobId, attempt: current.attempt, share,
			}]
			: [];
	});
}

/** The share of each task. If demand exceeds the cores, tasks that use more than they declare are first cut to their declared cores, the lowest class first; then all non-urgent tasks are cut further in the same order. */
function chooseShares(onWorker: readonly RunningJob[], cores: number): Map<JobId, number> {
	const demand = new Map(onWorker.map(item => [item.job.body.jobId, estimateUnthrottledCores(item)]));
	const granted = new Map(demand);
	let excess = [...demand.values()].reduce((sum, value) => sum + value, 0) - cores;
	for (const keptShare of [1, minimumDeclaredShare]) {
		for (const {job} of onWorker.filter(item => item.job.body.jobClass !== 'urgent').toSorted(compareLowestFirst)) {
			const {jobId} = job.body;
			const allotted = granted.get(jobId) ?? 0;
			const reduction = Math.max(0, Math.min(excess, allotted - (job.body.cores * keptShare)));
			granted.set(jobId, allotted - reduction);
			excess -= reduction;
		}
	}

	return new Map([...granted].map(([jobId, value]) => [jobId, computeShare(value / (demand.get(jobId) ?? value))]));
}

function computeShare(share: number): number {
	return Number.isFinite(share) ? Math.max(1, Math.floor(share * shareSteps)) / shareSteps : 1;
}

function isSignificantChange(current: number, share: number): boolean {
	return share < current || (share > current && share >= Math.min(1, current + minimumIncrease));
}
