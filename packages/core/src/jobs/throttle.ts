/** Throttles tasks on a worker whose tasks want more cores than it has, and lets them go again. */
import type {Effect} from '../types/effects.js';
import type {JobId} from '../types/ids.js';
import {compareLowestFirst, type RunningJob} from './runner.js';
import {computeWantedCores} from './usage.js';

/** A task that uses no more than it declares keeps at least this share of that. */
const leastDeclaredShare = 0.5;
const shareSteps = 100;
/** A task's share rises only by so much at once, so that noise in the reports changes nothing. */
const leastRise = 0.05;

/** The throttle calls that bring a worker's tasks to their shares. A call that was lost is repeated, since shares follow from the reports alone. */
export function throttleWorker(onWorker: readonly RunningJob[], cores: number): Effect[] {
	const shares = chooseShares(onWorker, cores);
	return onWorker.flatMap(({job, current, task}): Effect[] => {
		const share = shares.get(job.body.jobId) ?? 1;
		return task && isChange(task.throttle, share)
			? [{
				type: 'task/throttle', jobId: job.body.jobId, attempt: current.attempt, share,
			}]
			: [];
	});
}

/** The share of each task that must use less: first those beyond what they declare, down to that, the lowest class first; then the others. */
function chooseShares(onWorker: readonly RunningJob[], cores: number): Map<JobId, number> {
	const wanted = new Map(onWorker.map(item => [item.job.body.jobId, computeWantedCores(item)]));
	const granted = new Map(wanted);
	let excess = [...wanted.values()].reduce((sum, value) => sum + value, 0) - cores;
	for (const keptShare of [1, leastDeclaredShare]) {
		for (const {job} of onWorker.filter(item => item.job.body.jobClass !== 'urgent').toSorted(compareLowestFirst)) {
			const {jobId} = job.body;
			const now = granted.get(jobId) ?? 0;
			const cut = Math.max(0, Math.min(excess, now - (job.body.cores * keptShare)));
			granted.set(jobId, now - cut);
			excess -= cut;
		}
	}

	return new Map([...granted].map(([jobId, value]) => [jobId, computeShare(value / (wanted.get(jobId) ?? value))]));
}

function computeShare(share: number): number {
	return Number.isFinite(share) ? Math.max(1, Math.floor(share * shareSteps)) / shareSteps : 1;
}

function isChange(current: number, share: number): boolean {
	return share < current || (share > current && share >= Math.min(1, current + leastRise));
}
