/**
 * Looks at the runs in progress: they count as at least as long as they have run, otherwise the long ones would be missing
 * exactly when they matter, and those past the tail of their kind are logged.
 */
import {noteDecision, noteWarning} from './logging.js';
import {addGrowingValue, countValues} from './run-time-sketch.js';
import {
	findKeysOfTask, getEstimate, isLearningUsed, listKeys, ratioScale, type LearnedRuns,
} from './run-times.js';
import type {SchedulerState, Task} from './state.js';

/** Each look takes time in proportion to the runs in progress. */
const checkIntervalMs = 1000;
const calibrationIntervalMs = 60_000;
/** The tail of a kind is known after this many runs. */
const minRunsOfTail = 50;
/** A run is past the tail only if it also takes this many times the 95th percentile: with few runs the 99th is not much higher. */
const tailFactor = 2;

/** Looks at the runs in progress if that is due. */
export function tickRunTimes(state: SchedulerState): void {
	const {runTimes, now} = state;
	if (now < runTimes.checkDueAt) {
		return;
	}

	runTimes.checkDueAt = now + checkIntervalMs;
	const keys = [runTimes.fleet, ...listKeys(runTimes)];
	const changed = new Set(keys.filter(key => clearGrowing(key)));

	for (const worker of state.workers.values()) {
		// The runs of a worker that does not answer may have ended.
		for (const task of worker.failedPolls === 0 ? worker.tasks.values() : []) {
			if (task.status === 'running' && isCounted(task)) {
				noteInProgress(state, task);
			}
		}
	}

	for (const key of keys) {
		// Only now: meanwhile each run is compared with its kind.
		if (changed.has(key) || key.durations.growing.size > 0) {
			key.quantiles = undefined;
		}
	}

	reportCalibration(state);
}

/** A gang ends as one run. */
function isCounted({step: {definition}, index}: Task): boolean {
	return !definition.isLongRunning && (!definition.isGang || index === 0);
}

/** Returns whether there were runs in progress. */
function clearGrowing({durations, ratios}: LearnedRuns): boolean {
	const hadGrowing = durations.growing.size > 0;
	durations.growing.clear();
	ratios.growing.clear();
	return hadGrowing;
}

/** Where the start is not known, `startedAt` is later than it, so the run is at least as long. */
function noteInProgress(state: SchedulerState, task: Task): void {
	const ranMs = state.now - task.startedAt;
	const keys = findKeysOfTask(state, task);
	const ratio = ranMs * ratioScale / Math.max(1, task.step.definition.estimateMs);
	for (const key of keys) {
		addGrowingValue(key.durations, ranMs);
		addGrowingValue(key.ratios, ratio);
	}

	if (isLearningUsed(state, 'stragglers') && task.overTailRun !== task.run) {
		checkTail(state, task, keys[0]!, ranMs);
	}
}

function checkTail(state: SchedulerState, task: Task, narrow: LearnedRuns, ranMs: number): void {
	if (narrow === state.runTimes.fleet || countValues(narrow.durations) < minRunsOfTail) {
		return;
	}

	const {p95Ms, p99Ms} = getEstimate(narrow, task.step.definition);
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
