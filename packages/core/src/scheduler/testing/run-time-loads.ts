/** Loads of one queue whose run times differ from what is declared, each served by one leader with a few workers. */
import type {SchedulerSettings} from '../state.js';
import type {JobDefinition} from '../types.js';
import {createJob, createStep, modelConfig} from './model-jobs.js';
import {NarrowLeader} from './narrow-leader.js';
import {RunTimeDraws} from './run-time-draws.js';

const workers = 3;
/** Tasks of a job; each takes a core, and a worker has eight. */
const tasks = 4;
const stretch = 2;
const targetMs = 600;
/** The pool is idle for most of each period, and for the rest gets several times what it can do. */
const periodMs = 20_000;
const burstMs = 4000;
const drainMs = 15_000;
const spread = 0.3;
const longPercent = 3;

/** What a load says of each job: its declared estimate, and the median time of its runs. */
export type JobTimes = {readonly estimateMs: number; readonly medianMs: number};

export type RunTimeLoad = {
	readonly draw: (draws: RunTimeDraws, at: number, number: number) => JobTimes;
	/** How much longer runs take on a worker. */
	readonly computeSlowdown?: (workerId: string) => number;
};

const releaseAt = 45_000;

/** Loads in which declared estimates, or what was learned before, mislead. */
export const runTimeLoads: Readonly<Record<string, RunTimeLoad>> = {
	'estimates off by 20 times either way': {
		draw(draws) {
			const medianMs = draws.draw(300, 1300);
			return {estimateMs: draws.draw(0, 1) === 0 ? medianMs / 20 : medianMs * 20, medianMs};
		},
	},
	'a release that makes runs three times as long': {
		draw(draws, at) {
			const estimateMs = draws.draw(200, 700);
			return {estimateMs, medianMs: estimateMs * (at > releaseAt ? 3 : 1)};
		},
	},
	'a slow rack': {
		draw(draws) {
			const medianMs = draws.draw(300, 1300);
			return {estimateMs: medianMs, medianMs};
		},
		computeSlowdown: workerId => workerId === 'w-0' ? 3 : 1,
	},
	'two workloads in one queue': {
		draw: draws => ({estimateMs: 700, medianMs: draws.draw(0, 1) === 0 ? 200 : 1800}),
	},
	'an account that sends only giant jobs': {
		draw: (draws, _at, number) => ({estimateMs: 400, medianMs: number % 8 === 0 ? 4000 : draws.draw(250, 600)}),
	},
};

export type ServedJobs = {readonly jobs: number; readonly inTime: number};

export type ServeOptions = {
	readonly load: RunTimeLoad;
	readonly seed: number;
	readonly periods: number;
	/** Milliseconds between jobs in a burst. */
	readonly intervalMs: number;
	readonly isArrivalOrder?: boolean;
	readonly settings?: Partial<SchedulerSettings>;
};

/** Serves a load, and counts the jobs that ended within their objective, which follows from how long their runs usually take. */
export function measureServedJobs({load, seed, periods, intervalMs, isArrivalOrder = false, settings = {}}: ServeOptions): ServedJobs {
	const draws = RunTimeDraws.create(seed);
	const runDraws = RunTimeDraws.create(seed + 1_000_000);
	const medians = new Map<string, number>();
	const leader = NarrowLeader.create({
		workers,
		callMs: 0.1,
		connectMs: 0.1,
		settings,
		// With an objective that cannot be missed, the order is that of arrival.
		config: {...modelConfig, queues: [{...modelConfig.queues[0]!, stretch: isArrivalOrder ? 1e9 : stretch, latencyTargetMs: targetMs}]},
		computeRunMs: ({jobId}, _step, workerId) => runDraws.drawRunMs(medians.get(jobId)!, spread, longPercent) * (load.computeSlowdown?.(workerId) ?? 1),
	});
	leader.run(2000);
	const open = new Map<JobDefinition, number>();
	let inTime = 0;
	const runOn = (forMs: number) => {
		for (let spent = 0; spent < forMs; spent += 25) {
			leader.run(25);
			for (const [job, dueAt] of open) {
				if (leader.state.jobs.get(job.jobId)?.phase === 'completed') {
					inTime += leader.now <= dueAt ? 1 : 0;
					open.delete(job);
				}
			}
		}
	};

	let number = 0;
	for (let period = 0; period < periods; period++) {
		for (let spent = 0; spent < burstMs; spent += intervalMs) {
			const {estimateMs, medianMs} = load.draw(draws, leader.now, ++number);
			const job = createJob(number, [createStep({count: tasks, estimateMs, need: {cpu: 1000, memoryMb: 100, gpu: 0}})]);
			medians.set(job.jobId, medianMs);
			open.set(job, leader.now + (stretch * medianMs) + targetMs);
			leader.submit(job);
			runOn(intervalMs);
		}

		runOn(periodMs - burstMs);
	}

	runOn(drainMs);
	return {jobs: number, inTime};
}
