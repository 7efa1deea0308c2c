/**
 * Run times learned from the runs that ended as done: per step shape, per queue and for the whole fleet. Where a narrow key
 * has too few runs, the next wider one counts, and without any the declared estimate.
 *
 * Declared estimates may be good, or wrong by any factor, so each key predicts both from the durations and from the
 * ratios of duration to declared estimate, and uses whichever was closer so far.
 */
import {
	addValue, computeQuantiles, countValues, createSketch, dropOlderValues, type Quantiles, type Sketch,
} from './run-time-sketch.js';
import type {
	JobDefinition, QueueName, SteadyMs, StepDefinition,
} from './types.js';
import type {
	LearningUse, SchedulerState, StepRun, Task,
} from './state.js';

/** Expected run time of one task of a step. */
export type RunEstimate = {readonly meanMs: number; readonly p50Ms: number; readonly p90Ms: number; readonly p95Ms: number; readonly p99Ms: number};

/** The part of a job that its run times depend on. */
export type PlannedJob = {readonly definition: Pick<JobDefinition, 'queue' | 'steps'>};

/** Number of a step shape within its queue, or `anyShape`. */
export type ShapeNumber = number;

/** What was learned under one key. */
export type LearnedRuns = {
	/** Undefined for the whole fleet. */
	readonly queue: QueueName | undefined;
	readonly shape: ShapeNumber;
	readonly durations: Sketch;
	/** Ratios of duration to declared estimate, in units of 1/`ratioScale`. */
	readonly ratios: Sketch;
	/** Mean absolute logarithmic errors of both predictors so far, recent runs weighing more. */
	durationError: number;
	ratioError: number;
	generationSince: SteadyMs;
	usedAt: SteadyMs;
	/** Computed again once the number of runs has grown by `refreshShare`, and after each look at the runs in progress. */
	quantiles: {readonly durations: RunEstimate; readonly ratios: Quantiles; readonly asOfRuns: number} | undefined;
	/** Runs added since the quantiles were computed. */
	runsSince: number;
};

/** How many runs ended under and over a quantile that was expected of them. */
export type Calibration = {under: number; over: number};

export type RunTimes = {
	readonly fleet: LearnedRuns;
	readonly byQueue: Map<QueueName, Map<ShapeNumber, LearnedRuns>>;
	/** Number of keys, the fleet apart. */
	keys: number;
	/** Something was learned since the last record was written. */
	isDirty: boolean;
	storeDueAt: SteadyMs;
	/** When the runs in progress are looked at again. */
	checkDueAt: SteadyMs;
	/** When the calibration is logged again, and the number of runs at the last time. */
	calibrationDueAt: SteadyMs;
	calibratedRuns: number;
	readonly calibration: {readonly p50: Calibration; readonly p95: Calibration};
};

/** Covers all steps of a queue. */
export const anyShape = -1;
export const ratioScale = 10_000;
export const maxKeys = 256;
/** Fewer runs than this do not count: the next wider key does. */
const minRuns = 8;
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
const maxStepNumber = 63;
const maxCountClass = 15;

function createLearnedRuns(queue: QueueName | undefined, shape: ShapeNumber, now: SteadyMs): LearnedRuns {
	return {
		queue,
		shape,
		durations: createSketch(),
		ratios: createSketch(),
		durationError: 0,
		ratioError: 0,
		generationSince: now,
		usedAt: now,
		quantiles: undefined,
		runsSince: 0,
	};
}

export function createRunTimes(): RunTimes {
	return {
		fleet: createLearnedRuns(undefined, anyShape, 0),
		byQueue: new Map(),
		keys: 0,
		isDirty: false,
		storeDueAt: 0,
		checkDueAt: 0,
		calibrationDueAt: 0,
		calibratedRuns: 0,
		calibration: {p50: {under: 0, over: 0}, p95: {under: 0, over: 0}},
	};
}

/** True if a use of learned run times is switched on. */
export function isLearningUsed({settings}: SchedulerState, use: LearningUse): boolean {
	return settings.learning?.[use] ?? true;
}

/** Steps of one queue are alike if they have the same position in their job and about as many tasks; a resumed run is shorter. */
function computeShape(number: number, {count}: StepDefinition, isResumed: boolean): ShapeNumber {
	// 1, up to 4, up to 16 tasks and so on, as the base-4 logarithm.
	const countClass = Math.min(maxCountClass, (33 - Math.clz32(count - 1)) >> 1); // eslint-disable-line no-bitwise
	return (((Math.min(maxStepNumber, number) * (maxCountClass + 1)) + countClass) * 2) + Number(isResumed);
}

/** Returns the key, and adds it if it is new; the least recently used one makes room for it. */
export function ensureKey(runTimes: RunTimes, queue: QueueName, shape: ShapeNumber, now: SteadyMs): LearnedRuns {
	const known = runTimes.byQueue.get(queue)?.get(shape);
	if (known) {
		return known;
	}

	if (runTimes.keys >= maxKeys) {
		evictKey(runTimes);
	}

	const added = createLearnedRuns(queue, shape, now);
	const shapes = runTimes.byQueue.get(queue) ?? new Map<ShapeNumber, LearnedRuns>();
	shapes.set(shape, added);
	runTimes.byQueue.set(queue, shapes);
	runTimes.keys++;
	return added;
}

function evictKey(runTimes: RunTimes): void {
	let oldest: LearnedRuns | undefined;
	for (const key of listKeys(runTimes)) {
		oldest = oldest && oldest.usedAt <= key.usedAt ? oldest : key;
	}

	const shapes = oldest?.queue === undefined ? undefined : runTimes.byQueue.get(oldest.queue);
	if (oldest?.queue !== undefined && shapes?.delete(oldest.shape)) {
		runTimes.keys--;
		if (shapes.size === 0) {
			runTimes.byQueue.delete(oldest.queue);
		}
	}
}

/** All keys but that of the whole fleet. */
export function * listKeys({byQueue}: RunTimes): Generator<LearnedRuns> {
	for (const shapes of byQueue.values()) {
		yield * shapes.values();
	}
}

/** The keys of a task's run that are known, narrow first. */
export function findKeysOfTask({runTimes}: SchedulerState, {step, isResumed}: Task): LearnedRuns[] {
	const {queue} = step.occurrence.job.definition;
	const shapes = runTimes.byQueue.get(queue);
	return [shapes?.get(computeShape(step.number, step.definition, isResumed)), shapes?.get(anyShape), runTimes.fleet].filter(key => key !== undefined);
}

/** The keys of a task's run, narrow first; those that are not known yet are added. */
function ensureKeysOfTask({runTimes, now}: SchedulerState, {step, isResumed}: Task): LearnedRuns[] {
	const {queue} = step.occurrence.job.definition;
	const shape = computeShape(step.number, step.definition, isResumed);
	return [ensureKey(runTimes, queue, shape, now), ensureKey(runTimes, queue, anyShape, now), runTimes.fleet];
}

/** The narrowest key with enough runs. */
function findUsable({runTimes, now}: SchedulerState, queue: QueueName, shape: ShapeNumber): LearnedRuns | undefined {
	const shapes = runTimes.byQueue.get(queue);
	const key = returnIfUsable(shapes?.get(shape)) ?? returnIfUsable(shapes?.get(anyShape)) ?? returnIfUsable(runTimes.fleet);
	if (key) {
		key.usedAt = now;
	}

	return key;
}

function returnIfUsable(key: LearnedRuns | undefined): LearnedRuns | undefined {
	return key && countValues(key.durations) >= minRuns ? key : undefined;
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
