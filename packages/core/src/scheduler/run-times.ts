/**
 * Run times learned from the runs that ended as done, under the keys of run-time-keys.ts. Without enough runs under any key,
 * the declared estimate counts.
 *
 * Declared estimates may be good, or wrong by any factor, so each key predicts both from the durations and from the
 * ratios of duration to declared estimate, and uses whichever was closer so far.
 */
import {
	computeShape, ensureKeysOfTask, findUsable, minRuns, ratioScale, type Calibration, type LearnedRuns, type RunEstimate,
} from './run-time-keys.js';
import {
	addValue, computeQuantiles, countValues, dropOlderValues, type Quantiles,
} from './run-time-sketch.js';
import type {JobDefinition, SteadyMs, StepDefinition} from './types.js';
import type {
	LearningUse, SchedulerState, StepRun, Task,
} from './state.js';

/** The part of a job that its run times depend on. */
export type PlannedJob = {readonly definition: Pick<JobDefinition, 'queue' | 'steps'>};

/** A generation is full after this many runs, but spans a minute and many runs one after the other, so that it holds enough long ones. */
const generationRuns = 200;
const minGenerationMs = 60_000;
const generationSpan = 20;
/** A generation with few runs ends then, so that a release that changes run times is learned within the day. */
const maxGenerationMs = 6 * 3_600_000;
/** Share by which the number of runs of a key grows before its quantiles are computed again. */
const refreshShare = 0.05;
/** Weight of the latest run in the mean error once there are many. */
const errorWeight = 0.02;

/** True if a use of learned run times is switched on. */
export function isLearningUsed({settings}: SchedulerState, use: LearningUse): boolean {
	return settings.learning?.[use] ?? true;
}

function getQuantiles(key: LearnedRuns): NonNullable<LearnedRuns['quantiles']> {
	const runs = countValues(key.durations);
	if (!key.quantiles || key.runsSince > key.quantiles.asOfRuns * refreshShare) {
		key.quantiles = {durations: createEstimate(computeQuantiles(key.durations)), ratios: computeQuantiles(key.ratios), asOfRuns: runs};
		key.runsSince = 0;
	}

	return key.quantiles;
}

function createEstimate({mean, p50, p90, p95, p99}: Quantiles, scale = 1): RunEstimate {
	return {
		meanMs: mean * scale, p50Ms: p50 * scale, p90Ms: p90 * scale, p95Ms: p95 * scale, p99Ms: p99 * scale,
	};
}

function createDeclaredEstimate({estimateMs}: StepDefinition): RunEstimate {
	return {
		meanMs: estimateMs, p50Ms: estimateMs, p90Ms: estimateMs, p95Ms: estimateMs, p99Ms: estimateMs,
	};
}

export function getEstimate(key: LearnedRuns, {estimateMs}: StepDefinition): RunEstimate {
	const {durations, ratios} = getQuantiles(key);
	return key.ratioError < key.durationError && estimateMs > 0 ? createEstimate(ratios, estimateMs / ratioScale) : durations;
}

/** Expected run time of a task of a job's step, by its position; undefined if nothing was learned that applies. */
export function findLearnedEstimate(state: SchedulerState, {definition: {queue, steps}}: PlannedJob, number: number, isResumed = false): RunEstimate | undefined {
	const definition = steps[number];
	const key = definition && !definition.isLongRunning ? findUsable(state, queue, computeShape(number, definition, isResumed)) : undefined;
	return key && definition && getEstimate(key, definition);
}

/** True if a waiting task of a step has a checkpoint. */
export function isResuming({definition, tasks}: StepRun): boolean {
	return definition.isCheckpointing && tasks.some(({status, checkpoint}) => status === 'waiting' && checkpoint !== '');
}

/** Expected run time of a task of an open step. */
export function estimateRun(state: SchedulerState, step: StepRun): RunEstimate {
	return findLearnedEstimate(state, step.occurrence.job, step.number, isResuming(step)) ?? createDeclaredEstimate(step.definition);
}

/** Mean run time of a task of a job's step, for the work that it brings. */
export function estimateMeanMs(state: SchedulerState, job: PlannedJob, number: number, use: LearningUse = 'demand'): number {
	const learned = isLearningUsed(state, use) ? findLearnedEstimate(state, job, number) : undefined;
	return learned?.meanMs ?? job.definition.steps[number]?.estimateMs ?? 0;
}

/** Learns from a run that ended as done. */
export function noteRunEnd(state: SchedulerState, task: Task, ranMs: number): void {
	const {definition, number, occurrence} = task.step;
	if (definition.isLongRunning) {
		return;
	}

	const {runTimes} = state;
	const expected = findLearnedEstimate(state, occurrence.job, number, task.isResumed);
	if (expected) {
		noteCalibration(runTimes.calibration.p50, ranMs <= expected.p50Ms);
		noteCalibration(runTimes.calibration.p95, ranMs <= expected.p95Ms);
	}

	const ratio = ranMs * ratioScale / Math.max(1, definition.estimateMs);
	for (const key of ensureKeysOfTask(state, task)) {
		key.usedAt = state.now;
		noteErrors(key, ranMs, ratio);
		addValue(key.durations, ranMs);
		addValue(key.ratios, ratio);
		key.runsSince++;
		tickGeneration(key, state.now);
	}

	runTimes.isDirty = true;
}

function noteCalibration(calibration: Calibration, isUnder: boolean): void {
	calibration[isUnder ? 'under' : 'over']++;
}

function noteErrors(key: LearnedRuns, ranMs: number, ratio: number): void {
	const runs = countValues(key.durations);
	if (runs === 0) {
		return;
	}

	const {durations, ratios} = getQuantiles(key);
	const weight = Math.max(errorWeight, 1 / runs);
	key.durationError += (computeError(ranMs, durations.p50Ms) - key.durationError) * weight;
	key.ratioError += (computeError(ratio, ratios.p50) - key.ratioError) * weight;
}

function computeError(value: number, predicted: number): number {
	return Math.abs(Math.log(Math.max(1, value) / Math.max(1, predicted)));
}

function tickGeneration(key: LearnedRuns, now: SteadyMs): void {
	const runs = key.durations.newer.totalCount;
	const ageMs = now - key.generationSince;
	const isFull = runs >= generationRuns && ageMs >= Math.max(minGenerationMs, generationSpan * (key.quantiles?.durations.meanMs ?? 0));
	if (isFull || (runs >= minRuns && ageMs >= maxGenerationMs)) {
		dropOlderValues(key.durations);
		dropOlderValues(key.ratios);
		key.generationSince = now;
		key.quantiles = undefined;
	}
}
