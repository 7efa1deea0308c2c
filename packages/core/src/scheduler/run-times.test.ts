/** What is learned of run times, from which runs, and how soon. */
import {performance} from 'node:perf_hooks';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {addArrivedWork, addWaitingWork, getDemand} from './demand.js';
import {activateJob, addJob} from './jobs.js';
import {maxKeys, listKeys} from './run-time-keys.js';
import {estimateMeanMs, estimateRun, noteRunEnd} from './run-times.js';
import {tickRunTimes} from './run-time-watch.js';
import {createSchedulerState, type SchedulerState, type Task} from './state.js';
import {placeTask} from './tasks.js';
import {ensureWorker} from './registry.js';
import {createJob, createStep, poolName} from './testing/model-fleet.js';
import {modelSettings} from './testing/model-settings.js';
import {computeExact, RunTimeDraws} from './testing/run-time-draws.js';

let nextJob = 1;

/** The tasks of a new job of one step. */
function addTasks(state: SchedulerState, estimateMs: number, count = 1, queue = 'q'): Task[] {
	const definition = createJob(nextJob++, [createStep({count, estimateMs})], {queue});
	addJob(state, definition);
	const job = state.jobs.get(definition.jobId)!;
	activateJob(state, job);
	return job.live!.occurrences.get(0)!.steps[0]!.tasks;
}

function learn(state: SchedulerState, ranMs: number, estimateMs: number, queue = 'q'): void {
	noteRunEnd(state, addTasks(state, estimateMs, 1, queue)[0]!, ranMs);
}

function estimate(state: SchedulerState, estimateMs: number, queue = 'q') {
	return estimateRun(state, addTasks(state, estimateMs, 1, queue)[0]!.step);
}

function computeError(value: number, exact: number): number {
	return Math.abs(value - exact) / exact;
}

const seeds = Array.from({length: 20}, (_, index) => index + 1);

/** Drawn run time and declared estimate of one task of each load, and the exact median and 95th percentile of the former. */
const loads: Record<string, (draws: RunTimeDraws) => {ranMs: number; estimateMs: number}> = {
	'no long runs': draws => ({ranMs: draws.drawRunMs(400, 0.3, 0), estimateMs: 400}),
	'3% of the runs seven times as long': draws => ({ranMs: draws.drawRunMs(400, 0.3, 3), estimateMs: 400}),
	'estimates off by 20 times either way': draws => ({ranMs: draws.drawRunMs(400, 0.3, 3), estimateMs: draws.draw(0, 1) === 0 ? 20 : 8000}),
};

describe('learned run times', () => {
	for (const [load, draw] of Object.entries(loads)) {
		/** Guards against estimates that stay wrong although runs have ended. Load: 50 ended runs of one kind, 20 seeds. */
		it(`know the median within 20% and the 95th percentile within 40% after 50 runs: ${load}`, () => {
			const many = RunTimeDraws.create(1000);
			const exact = Array.from({length: 20_000}, () => draw(many).ranMs);
			const wrong: string[] = [];
			for (const seed of seeds) {
				const draws = RunTimeDraws.create(seed);
				const state = createSchedulerState(modelSettings);
				for (let run = 0; run < 50; run++) {
					const {ranMs, estimateMs} = draw(draws);
					learn(state, ranMs, estimateMs);
				}

				const {p50Ms, p95Ms} = estimate(state, draw(draws).estimateMs);
				const errors = [computeError(p50Ms, computeExact(exact, 0.5)), computeError(p95Ms, computeExact(exact, 0.95))] as const;
				if (errors[0] > 0.2 || errors[1] > 0.4) {
					wrong.push(`seed ${seed}: ${errors.map(error => error.toFixed(2)).join(' ')}`);
				}
			}

			expect(wrong).toEqual([]);
		});
	}

	/** Guards against learning that makes good declared estimates useless: tasks of 50 to 5,000 ms in one queue. */
	it('scale good declared estimates, where durations differ by a hundred times', () => {
		const draws = RunTimeDraws.create(1);
		const state = createSchedulerState(modelSettings);
		for (let run = 0; run < 200; run++) {
			const estimateMs = draws.draw(50, 5000);
			learn(state, 1.5 * estimateMs * draws.drawFactor(0.1), estimateMs);
		}

		expect(computeError(estimate(state, 100).p50Ms, 150)).toBeLessThan(0.2);
		expect(computeError(estimate(state, 4000).p50Ms, 6000)).toBeLessThan(0.2);
	});

	/** Guards against few runs that count for much: the next wider key counts until there are enough, and first the declared estimate. */
	it('fall back from the shape to the queue, the fleet and the declared estimate', () => {
		const state = createSchedulerState(modelSettings);
		expect(estimate(state, 300).p50Ms).toEqual(300);
		for (let run = 0; run < 8; run++) {
			learn(state, 600, 300);
		}

		const [wide] = addTasks(state, 1000, 30);
		expect(computeError(estimateRun(state, wide!.step).p50Ms, 2000)).toBeLessThan(0.05);
		expect(computeError(estimate(state, 1000, 'other').p50Ms, 2000)).toBeLessThan(0.05);
		for (let run = 0; run < 8; run++) {
			noteRunEnd(state, addTasks(state, 1000, 30)[0]!, 5000);
		}

		expect(computeError(estimateRun(state, wide!.step).p50Ms, 5000)).toBeLessThan(0.05);
		expect(computeError(estimate(state, 300).p50Ms, 600)).toBeLessThan(0.05);
	});

	/** Guards against runs of weeks ago that outweigh a release: 1,000 runs before it, and 400 after it over some hours. */
	it('forget old runs within the day of a release', () => {
		const state = createSchedulerState(modelSettings);
		for (let run = 0; run < 1400; run++) {
			state.now += 60_000;
			learn(state, run < 1000 ? 400 : 1200, 400);
		}

		const {p50Ms, p95Ms} = estimate(state, 400);
		expect(computeError(p50Ms, 1200)).toBeLessThan(0.2);
		expect(computeError(p95Ms, 1200)).toBeLessThan(0.4);
	});

	/** Guards against memory that grows with the names that jobs bring. Load: 1,000 queues. */
	it('keep at most 256 keys, those used last', () => {
		const state = createSchedulerState(modelSettings);
		for (let queue = 0; queue < 1000; queue++) {
			state.now++;
			learn(state, 100, 100, `q-${queue}`);
			learn(state, 100, 100, 'q-0');
		}

		const queues = new Set([...listKeys(state.runTimes)].map(key => key.queue));
		expect([...listKeys(state.runTimes)].length).toEqual(maxKeys);
		expect(state.runTimes.keys).toEqual(maxKeys);
		expect([queues.has('q-0'), queues.has('q-999'), queues.has('q-1')]).toEqual([true, true, false]);
	});

	/** Guards against quantiles that are computed for each open step: 10,000 estimates without a new run between them. */
	it('are computed again only when runs have ended', () => {
		const state = createSchedulerState(modelSettings);
		for (let run = 0; run < 100; run++) {
			learn(state, 100 + run, 100);
		}

		const first = estimate(state, 500);
		const {step} = addTasks(state, 500)[0]!;
		for (let look = 0; look < 10_000; look++) {
			if (estimateRun(state, step) !== first) {
				throw new Error('the estimate was computed again');
			}
		}
	});

	/** Guards against long runs that are missing while they last: of 100 runs that began together, 60 ended early and 40 go on. */
	it('count runs in progress as at least as long as they have run', () => {
		const state = createSchedulerState(modelSettings);
		const worker = ensureWorker(state, 'w', 1);
		for (const [index, task] of addTasks(state, 500, 100).entries()) {
			if (index < 60) {
				noteRunEnd(state, task, 100 + index);
			} else {
				placeTask(state, task, worker, 1);
				task.status = 'running';
				task.startedAt = 0;
			}
		}

		state.now = 4000;
		const {step} = [...worker.tasks.values()][0]!;
		expect(estimateRun(state, step).p90Ms).toBeLessThan(200);
		tickRunTimes(state);
		expect(computeError(estimateRun(state, step).p90Ms, 4000)).toBeLessThan(0.05);
		expect(estimateRun(state, step).p50Ms).toBeLessThan(200);
	});

	/** Guards against quantiles that are computed for each run in progress: that took over a second. Load: 12,000 runs, of a kind with a known tail. */
	it('are compared with 12,000 runs in progress in under 300 ms', () => {
		const state = createSchedulerState(modelSettings);
		const worker = ensureWorker(state, 'w', 1);
		for (let run = 0; run < 100; run++) {
			learn(state, 300 + run, 300);
		}

		for (const task of Array.from({length: 12_000}, () => addTasks(state, 300)[0]!)) {
			placeTask(state, task, worker, 1);
			task.status = 'running';
			task.startedAt = 0;
		}

		state.now = 350;
		const startedAt = performance.now();
		tickRunTimes(state);
		expect(performance.now() - startedAt).toBeLessThan(300);
	});

	/** Guards against a demand for machines that goes by declared estimates, here wrong by ten times. */
	it('give the work that arrives and that waits', () => {
		const state = createSchedulerState(modelSettings);
		for (let run = 0; run < 20; run++) {
			learn(state, 1000, 100);
		}

		const {step} = addTasks(state, 100, 4)[0]!;
		addArrivedWork(state, step.occurrence.job);
		addWaitingWork(state, poolName, step, {tasks: 2, workers: 0, refused: {}});
		const {arrivedWork, waitingWork} = getDemand(state, poolName);
		expect(computeError(arrivedWork.cpu, 4 * 2000 * 1000)).toBeLessThan(0.05);
		expect(computeError(waitingWork.cpu, 2 * 2000 * 1000)).toBeLessThan(0.05);
	});

	/** Guards against a switch that has no effect: each use must be measurable without the others. */
	it('are used only where their switch is on', () => {
		const state = createSchedulerState({...modelSettings, learning: {demand: false}});
		for (let run = 0; run < 20; run++) {
			learn(state, 3000, 100);
		}

		const {job} = addTasks(state, 100)[0]!.step.occurrence;
		expect(estimateMeanMs(state, job, 0)).toEqual(100);
		expect(computeError(estimateMeanMs(state, job, 0, 'admission'), 3000)).toBeLessThan(0.05);
	});
});
