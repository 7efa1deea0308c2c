/**
 * Keys under which run times are learned: per step shape, per queue and for the whole fleet. Where a narrow key has too few
 * runs, the next wider one counts.
 */
import {
	countValues, createSketch, type Quantiles, type Sketch,
} from './run-time-sketch.js';
import type {QueueName, SteadyMs, StepDefinition} from './types.js';
import type {SchedulerState, Task} from './state.js';

/** Expected run time of one task of a step. */
export type RunEstimate = {readonly meanMs: number; readonly p50Ms: number; readonly p90Ms: number; readonly p95Ms: number; readonly p99Ms: number};

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
	/** Computed again once the number of runs has grown by `refreshShare`, and after each sampling of the runs in progress. */
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
	/** When the runs in progress are sampled again. */
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
export const minRuns = 8;
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

/** Steps of one queue are alike if they have the same position in their job and about as many tasks; a resumed run is shorter. */
export function computeShape(number: number, {count}: StepDefinition, isResumed: boolean): ShapeNumber {
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
export function ensureKeysOfTask({runTimes, now}: SchedulerState, {step, isResumed}: Task): LearnedRuns[] {
	const {queue} = step.occurrence.job.definition;
	const shape = computeShape(step.number, step.definition, isResumed);
	return [ensureKey(runTimes, queue, shape, now), ensureKey(runTimes, queue, anyShape, now), runTimes.fleet];
}

/** The narrowest key with enough runs. */
export function findUsable({runTimes, now}: SchedulerState, queue: QueueName, shape: ShapeNumber): LearnedRuns | undefined {
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
