/** Quarantines workers whose runs fail or get stuck. */
import type {JobId} from '../types/ids.js';
import {noteWarning} from './logging.js';
import {failureWindowMs, quarantineMs} from './timing.js';
import type {SteadyMs} from './types.js';
import type {SchedulerState, Task, Worker} from './state.js';

/** A worker is quarantined when runs of this many different jobs have failed there without a success in between. */
const minFailedJobs = 2;
/** Most runs at once on a suspect worker that began after its failures. */
const maxProbeRuns = 2;
/** At most this share of a pool is quarantined at once. */
const maxQuarantinedShare = 0.5;
/** A long-running run that has been at work for this long shows that its worker is well. */
const provenAfterMs = quarantineMs;
/** The quarantine time doubles at most this often. */
const maxDoublings = 2;

/** Records a failed or stuck run at a worker, and quarantines the worker if this is one too many. */
export function noteFailure(state: SchedulerState, worker: Worker, jobId: JobId, reason: string): void {
	worker.failures.push({at: state.now, jobId});
	while (worker.failures[0] && worker.failures[0].at < state.now - failureWindowMs) {
		worker.failures.shift();
	}

	const jobs = new Set(worker.failures.filter(({at}) => at >= worker.lastSuccessAt).map(failure => failure.jobId));
	if (jobs.size < minFailedJobs || worker.quarantinedUntil > state.now || !canQuarantine(state, worker)) {
		return;
	}

	worker.quarantinedUntil = state.now + (quarantineMs * (2 ** Math.min(worker.quarantineCount, maxDoublings)));
	worker.quarantineCount++;
	noteWarning(state, 'worker-set-aside', {
		workerId: worker.id, reason, jobs: jobs.size, forMs: worker.quarantinedUntil - state.now,
	});
}

/** Records that a run at a worker succeeded: it counts as healthy again. */
export function noteSuccess(state: SchedulerState, worker: Worker): void {
	worker.lastSuccessAt = state.now;
	worker.quarantineCount = 0;
}

/**
 * Records that a long-running run is fully at work. After a while its worker counts as healthy again if the run began
 * after the failures there: such runs never end as done.
 */
export function noteAtWork(state: SchedulerState, worker: Worker, task: Task): void {
	const failedSince = findFailedSince(state, worker);
	if (failedSince !== undefined && task.startedAt >= failedSince && state.now - task.percentChangedAt >= provenAfterMs) {
		noteSuccess(state, worker);
	}
}

/** When the first of the latest failures happened, with no success since; undefined if there is none that still counts. */
function findFailedSince(state: SchedulerState, {failures, lastSuccessAt}: Worker): SteadyMs | undefined {
	return failures.find(({at}) => at > lastSuccessAt && at > state.now - failureWindowMs)?.at;
}

/** True while a worker's latest run has failed and none has succeeded there since; it then gets only a few tasks at a time. */
export function isSuspect(state: SchedulerState, worker: Worker): boolean {
	return findFailedSince(state, worker) !== undefined;
}

/** How many more runs a worker may be given before one of them has shown that it works. Runs that began before the failures do not count: they say nothing about the worker's present health. */
export function countProbeRunsLeft(state: SchedulerState, worker: Worker): number {
	const failedSince = findFailedSince(state, worker);
	return failedSince === undefined ? Number.POSITIVE_INFINITY : maxProbeRuns - listProbes(worker, failedSince).length;
}

/** True while a worker is set aside because its runs fail. */
export function isQuarantined(state: SchedulerState, worker: Worker): boolean {
	return worker.quarantinedUntil > state.now;
}

/** True if a worker that is set aside may be given one long-running task as a probe: nothing has failed there for a while, and no other probe runs. */
export function isProbeDue(state: SchedulerState, worker: Worker): boolean {
	const failedAt = worker.failures.at(-1)?.at;
	return failedAt !== undefined && isQuarantined(state, worker) && failedAt <= state.now - quarantineMs && listProbes(worker, failedAt).length === 0;
}

function listProbes(worker: Worker, failedSince: SteadyMs): Task[] {
	return [...worker.tasks.values()].filter(task => !task.isSent || task.startedAt >= failedSince);
}

function canQuarantine(state: SchedulerState, worker: Worker): boolean {
	const pool = [...state.workers.values()].filter(other => other.pool === worker.pool && other.isListed);
	const quarantined = pool.filter(other => other.quarantinedUntil > state.now);
	return (quarantined.length + 1) <= pool.length * maxQuarantinedShare;
}
