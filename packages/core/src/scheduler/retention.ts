/** Retention: finished and cancelled jobs are kept for as long as callers may query them, then removed from the store. */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import {listOldRefusalRecords} from './first-sends.js';
import {addEffect, noteDecision} from './logging.js';
import {isFinal} from './phases.js';
import type {SchedulerState} from './state.js';
import type {JobDefinition} from './types.js';

const retentionScanMs = 5000;
/** Jobs are kept for this multiple of the retention time that callers are told, so that late repeats of a request still find them. */
const retentionFactor = 2;
/** Jobs removed per request; more would make the append too large. */
const maxRemovedAtOnce = 500;
const shorteningIntervalMs = 2000;
/** Definitions shortened per request; those left follow with the next ones. */
const maxShortenedAtOnce = 500;

/**
 * Requests the removal of jobs from the intake whose retention time has passed. A job without progress would be started
 * again, so its progress is removed from the ledger only after the removal has been read from the intake; until then the
 * request is repeated.
 */
export function removeOldJobs(state: SchedulerState): void {
	if (state.now < state.retentionDueAt) {
		return;
	}

	state.retentionDueAt = state.now + retentionScanMs;
	const holders = listOldRefusalRecords(state);
	if (holders.length > 0) {
		addEffect(state, {type: 'intake/remove-refusals', holders});
	}

	const expired: JobId[] = [];
	for (const [jobId, job] of state.jobs) {
		const isOver = job.isCancelled || isFinal(job.phase);
		const keptMs = state.settings.statusRetentionMs * retentionFactor;
		job.endedSince = isOver ? (job.endedSince ?? state.now) : undefined;
		if (isOver && !job.live && state.now - job.endedSince! > keptMs && expired.length < maxRemovedAtOnce) {
			expired.push(jobId);
		}
	}

	if (expired.length > 0) {
		noteDecision(state, 'job-removal-asked', {jobs: expired.length});
		addEffect(state, {type: 'intake/remove', jobIds: expired});
	}
}

/** True for the definition of a job that has ended: without its text and steps. */
export function isShortened({steps}: JobDefinition): boolean {
	return steps.length === 0;
}

/** The definition without what only its tasks need. */
function convertToShort({jobId, queue, pool}: JobDefinition): JobDefinition {
	return {
		jobId, queue, pool, spec: '', steps: [], runCount: 0, firstRunAt: 0 as Instant, intervalMs: 0,
	};
}

/**
 * Requests that the definitions of jobs that have ended be replaced by short ones. Callers may ask for these jobs for
 * minutes, and each host that starts loads them all: their texts would delay it the more the longer the fleet has worked.
 */
export function replaceEndedJobs(state: SchedulerState): void {
	if (state.now < state.shorteningDueAt) {
		return;
	}

	state.shorteningDueAt = state.now + shorteningIntervalMs;
	const definitions: JobDefinition[] = [];
	for (const job of state.jobs.values()) {
		const isOver = (job.isCancelled || isFinal(job.phase)) && !job.live;
		if (isOver && !isShortened(job.definition) && definitions.length < maxShortenedAtOnce) {
			definitions.push(convertToShort(job.definition));
		}
	}

	if (definitions.length > 0) {
		addEffect(state, {type: 'intake/shorten', definitions});
	}
}

/** Applies the removal of a job from the intake. Its progress in the ledger is removed next, by this leader or by a later one. */
export function dropJob(state: SchedulerState, jobId: JobId): void {
	const isKnown = state.jobs.delete(jobId);
	const hasProgress = state.earlyProgress.delete(jobId);
	if (isKnown || hasProgress || state.leadership.role === 'leader') {
		state.removedJobs.add(jobId);
	}
}

/** Called after the whole ledger was read: drops the removals of jobs that have no progress left in it. */
export function dropFinishedRemovals({removedJobs, earlyProgress}: SchedulerState): void {
	for (const jobId of removedJobs) {
		if (!earlyProgress.has(jobId)) {
			removedJobs.delete(jobId);
		}
	}
}

/** Applies the removal of a job's progress from the ledger. The job has left the intake before, even if this host has not read that yet. */
export function dropProgress(state: SchedulerState, jobId: JobId): void {
	state.jobs.delete(jobId);
	state.earlyProgress.delete(jobId);
	state.progressParts.delete(jobId);
	state.removedJobs.delete(jobId);
}
