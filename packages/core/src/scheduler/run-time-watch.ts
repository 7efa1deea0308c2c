/**
 * Samples the runs in progress: each counts as a censored value, at least as long as it has run, because long runs would
 * otherwise be missing until they end. Logs runs past the tail of the runs of their key.
 */
import {noteDecision, noteWarning} from './logging.js';
import {
	findKeysOfTask, listKeys, ratioScale, type LearnedRuns,
} from './run-time-keys.js';
import {addCensoredValue, countValues} from './run-time-sketch.js';
import {getEstimate, isLearningUsed} from './run-times.js';
import type {SchedulerState, Task} from './state.js';

/** Each sampling takes time in proportion to the runs in progress. */
const checkIntervalMs = 1000;
const calibrationIntervalMs = 60_000;
/** The tail of a key is known after this many runs. */
const minRunsOfTail = 50;
/** A run is past the tail only if it also takes this many times the 95th percentile: with few runs the 99th is not much higher. */
const tailFactor = 2;

/** Samples the runs in progress if that is due. */
export function tickRunTimes(state: SchedulerState): void {
	const {runTimes, now} = state;
	if (now < runTimes.checkDueAt) {
		return;
	}

	runTimes.checkDueAt = now + checkIntervalMs;
	const keys = [runTimes.fleet, ...listKeys(runTimes)];
	const changed = new Set(keys.filter(key => clearCensored(key)));

	for (const worker of state.workers.values()) {
		// The runs of a worker that does not answer may have ended.
		for (const task of worker.failedPolls === 0 ? worker.tasks.values() : []) {
			if (task.status === 'running' && isCounted(task)) {
				noteInProgress(state, task);
			}
		}
	}

	for (const key of keys) {
		// Not before the loop above, which compares each run with these quantiles.
		if (changed.has(key) || key.durations.censored.size > 0) {
			key.quantiles = undefined;
		}
	}

	reportCalibration(state);
}

/** False for long-running tasks, and for all members of a gang but the first: a gang ends as one run. */
function isCounted({step: {definition}, index}: Task): boolean {
	return !definition.isLongRunning && (!definition.isGang || index === 0);
}

/** Returns whether there were runs in progress. */
function clearCensored({durations, ratios}: LearnedRuns): boolean {
	const hadCensored = durations.censored.size > 0;
	durations.censored.clear();
	ratios.censored.clear();
	return hadCensored;
}

/** Where the start is not known, `startedAt` is later than it, so the run is at least as long. */
function noteInProgress(state: SchedulerState, task: Task): void {
	const ranMs = state.now - task.startedAt;
	const keys = findKeysOfTask(state, task);
	const ratio = ranMs * ratioScale / Math.max(1, task.step.definition.estimateMs);
	for (const key of keys) {
		addCensoredValue(key.durations, ranMs);
		addCensoredValue(key.ratios, ratio);
	}

	if (isLearningUsed(state, 'stragglers') && task.overTailRun !== task.run) {
		checkTail(state, task, keys[0]!, ranMs);
	}
}

function checkTail(state: SchedulerState, task: Task, key: LearnedRuns, ranMs: number): void {
	if (key === state.runTimes.fleet || countValues(key.durations) < minRunsOfTail) {
		return;
	}

	const {p95Ms, p99Ms} = getEstimate(key, task.step.definition);
	if (ranMs > Math.max(p99Ms, tailFactor * p95Ms)) {
		task.overTailRun = task.run;
		noteWarning(state, 'run-over-tail', {
			task: task.name, run: task.run, workerId: task.worker?.id, ranMs: Math.round(ranMs), p95Ms: Math.round(p95Ms), p99Ms: Math.round(p99Ms),
		});
	}
}

function reportCalibration(state: SchedulerState): void {
	const {runTimes, now} = state;
	const {p50, p95} = runTimes.calibration;
	const runs = p50.under + p50.over;
	if (now < runTimes.calibrationDueAt || runs === runTimes.calibratedRuns) {
		return;
	}

	runTimes.calibrationDueAt = now + calibrationIntervalMs;
	runTimes.calibratedRuns = runs;
	noteDecision(state, 'run-calibration', {
		runs, underP50: p50.under, underP95: p95.under, keys: runTimes.keys,
	});
}
