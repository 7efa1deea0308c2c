/** Which runs give a duration, how the leader stores what it learned, and what its successor starts with. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {estimateRun} from './run-times.js';
import {
	addOlderValues, addValue, computeQuantiles, countValues, createSketch, listBuckets,
} from './run-time-sketch.js';
import type {SchedulerEffect} from './effects.js';
import type {LedgerRecord, RunEnd} from './types.js';
import {
	createProgress, createRow, HandDrivenHost, listLogEvents, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import {RunTimeDraws} from './testing/run-time-draws.js';

const pollMs = 500;

function createHost(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	return host;
}

/** Submits a job of one task and returns its start. */
function start(host: HandDrivenHost, number: number): EffectOf<'worker/start'> {
	const effects = [...host.submit(createJob(number, [createStep({count: 1, estimateMs: 100})])), ...host.tick(100)];
	return listStarts(effects)[0]!;
}

function end(host: HandDrivenHost, order: EffectOf<'worker/start'>, number: number, how: RunEnd = 'done'): void {
	host.answerPoll('w1', {
		ended: [{
			number, task: order.task, run: order.run, how, checkpoint: '',
		}],
	});
	host.tick(50);
}

/** Lets runs of 400 ms end as done. */
function learnRuns(host: HandDrivenHost, runs: number): void {
	for (let number = 1; number <= runs; number++) {
		const order = start(host, number);
		host.answerStart(order);
		host.now += 400;
		end(host, order, number);
	}
}

function countLearned({state}: HandDrivenHost): number {
	return countValues(state.runTimes.fleet.durations);
}

function getPhase({state}: HandDrivenHost, number: number): string | undefined {
	return state.jobs.get(createJob(number, []).jobId)?.phase;
}

function listRecords(effects: readonly SchedulerEffect[]): LedgerRecord[] {
	return effects.flatMap(effect => effect.type === 'ledger/commit' ? effect.records : []).filter(({type}) => type === 'run-times');
}

describe('runs that give a duration', () => {
	/** Guards against run times that were not measured: the run did not do its work, or began at an unknown time. */
	it('are those that ended as done after a start that was answered', () => {
		const counts: Partial<Record<RunEnd, number>> = {};
		for (const how of ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const) {
			const host = createHost();
			const order = start(host, 1);
			host.answerStart(order);
			host.now += 400;
			end(host, order, 1, how);
			counts[how] = countLearned(host);
		}

		expect(counts).toEqual({
			done: 1, failed: 0, stopped: 0, lapsed: 0, broken: 0, alone: 0,
		});
	});

	/** Guards against the durations of runs that begin long after their start was sent. */
	it('are not those whose start was not answered', () => {
		const host = createHost();
		const order = start(host, 1);
		host.answerStart(order, 'unknown');
		host.now += 300;
		host.answerPoll('w1', {
			running: [{
				task: order.task, run: order.run, checkpoint: '', percent: 1, reading: 0,
			}],
		});
		host.now += 400;
		end(host, order, 1);
		expect([getPhase(host, 1), countLearned(host)]).toEqual(['completed', 0]);
	});

	/** Guards against durations that contain the silence of a worker that was out of reach when the run ended. */
	it('are not those whose end was told late', () => {
		const host = createHost();
		const order = start(host, 1);
		host.answerStart(order);
		host.now += 400;
		host.answerPoll('w1', {outcome: 'unknown'});
		host.now += pollMs;
		end(host, order, 1);
		expect([getPhase(host, 1), countLearned(host)]).toEqual(['completed', 0]);
	});

	/** Guards against durations that count from the takeover: the new leader does not know when the run began. */
	it('are not those that an earlier leader started', () => {
		const job = createJob(1, [createStep({count: 1, estimateMs: 100})]);
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow()])]);
		host.addWorkers('w1');
		host.answerPoll('w1', {
			ended: [{
				number: 1, task: `${job.jobId}.0.0.0`, run: 1, how: 'done', checkpoint: '',
			}],
		});
		host.tick(50);
		expect([getPhase(host, 1), countLearned(host)]).toEqual(['completed', 0]);
	});
});

describe('the record of run times', () => {
	/** Guards against a store that is written to for each run. */
	it('is written at most every 5 s, and only after something was learned', () => {
		const host = createHost();
		learnRuns(host, 40);
		const writtenIn20S = listRecords(host.effects).length;
		expect(host.now).toBeGreaterThan(20_000);
		expect(writtenIn20S).toBeLessThanOrEqual(1 + Math.floor(host.now / 5000));
		expect(writtenIn20S).toBeGreaterThan(1);
		host.tick(6000);
		const before = host.effects.length;
		host.tick(20_000);
		expect(listRecords(host.effects.slice(before))).toEqual([]);
	});

	/** Guards against a new leader that plans by declared estimates, here wrong by four times, until it has learned anew. */
	it('lets a new leader start with what the former one knew', () => {
		const former = createHost();
		learnRuns(former, 30);
		former.tick(6000);
		const record = listRecords(former.effects).at(-1)!;
		const next = HandDrivenHost.create();
		next.submit(createJob(50, [createStep({count: 1, estimateMs: 100})]));
		next.takeLeadership([{offset: 0, record}]);
		const [step] = [...next.state.openSteps];
		const {p50Ms, p95Ms} = estimateRun(next.state, step!);
		expect(countLearned(next)).toEqual(30);
		expect(p50Ms > 380 && p50Ms < 480).toEqual(true);
		expect(p95Ms > 380 && p95Ms < 500).toEqual(true);
	});

	/** Guards against what a leader learned being lost with it: one is killed in the middle of its work, on 3 seeds. At most 5 s are missing, and two commits. */
	it('outlives a leader that is killed', () => {
		for (const seed of [1, 2, 3]) {
			const fleet = ModelFleet.create({
				seed, hosts: 3, workers: 4, faults: noFaults,
			});
			fleet.run(3000);
			const learned: number[] = [];
			for (let number = 1; number <= 60; number++) {
				fleet.submit(createJob(number, [createStep({count: 4, estimateMs: 300})]));
				fleet.run(200);
				learned.push(countValues(fleet.findLeader()!.runTimes.fleet.durations));
			}

			const former = fleet.findLeader()!;
			fleet.killHost(fleet.hosts.findIndex(({state}) => state === former), 60_000);
			fleet.run(5000);
			const next = fleet.findLeader()!;
			expect(next === former).toEqual(false);
			expect(countValues(next.runTimes.fleet.durations)).toBeGreaterThanOrEqual(learned.at(-28)!);
			expect(fleet.violations).toEqual([]);
		}
	});

	/** Guards against a record that grows with the number of runs, or loses their tail. Load: 50,000 runs that differ by thousands of times. */
	it('takes at most 115 buckets a key (460 bytes in its two lists), with the quantiles of all runs', () => {
		const draws = RunTimeDraws.create(1);
		const [sketch, copy] = [createSketch(), createSketch()];
		for (let run = 0; run < 50_000; run++) {
			addValue(sketch, draws.drawRunMs(400, 1, 3));
		}

		const buckets = listBuckets(sketch);
		addOlderValues(copy, buckets, 50_000);
		const [all, stored] = [computeQuantiles(sketch), computeQuantiles(copy)];
		expect(buckets.length / 2).toBeLessThanOrEqual(115);
		for (const quantile of ['mean', 'p50', 'p90', 'p95'] as const) {
			expect(Math.abs(stored[quantile] - all[quantile]) / all[quantile]).toBeLessThan(0.1);
		}
	});

	/** Guards against a record that cannot be used, which must cost what was learned and no job. */
	it('costs no job if it cannot be used', () => {
		const host = HandDrivenHost.create();
		host.submit(createJob(1, [createStep({count: 1, estimateMs: 100})]));
		const effects = host.takeLeadership([{
			offset: 0, record: {
				type: 'run-times', rows: [{
					queue: '', shape: -1, runs: 5, durationError: 0, ratioError: 0, durations: [1_000_000, 5], ratios: [3],
				}],
			},
		}]);
		expect(listLogEvents(effects)).toInclude('run-times-not-restored');
		host.addWorkers('w1');
		expect([host.state.leadership.role, host.state.liveJobs.size, listStarts(host.tick(200)).length]).toEqual(['leader', 1, 1]);
	});
});

describe('runs past the tail of their key', () => {
	/** Guards against runs that hang unnoticed, and against a log line for each sampling of them. */
	it('are logged once each', () => {
		const host = createHost();
		learnRuns(host, 60);
		const order = start(host, 500);
		host.answerStart(order);
		const effects: SchedulerEffect[] = [];
		for (let percent = 1; percent < 30; percent++) {
			host.answerPoll('w1', {
				running: [{
					task: order.task, run: order.run, checkpoint: '', percent, reading: 0,
				}],
			});
			effects.push(...host.tick(100));
		}

		expect(listLogEvents(effects).filter(event => event === 'run-over-tail')).toEqual(['run-over-tail']);
	});
});
