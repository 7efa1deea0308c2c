/** Ended jobs are kept for as long as callers may ask for them, then removed from the store. */
import type {JobId} from '../types/ids.js';
import {addEffect, noteDecision} from './logging.js';
import {isFinal} from './phases.js';
import type {SchedulerState} from './state.js';

const retentionLookMs = 5000;
/** Kept longer than callers were told, for repeats that arrive late. */
const retentionFactor = 2;
/** More would make the append too large. */
const mostRemovedAtOnce = 500;

/**
 * Has jobs that have been over for long removed from the intake. A job without progress would be started, so that its
 * progress goes only once the removal was read from the intake; until then it is asked for again.
 */
export function removeOldJobs(state: SchedulerState): void {
	if (state.now < state.retentionDueAt) {
		return;
	}

	state.retentionDueAt = state.now + retentionLookMs;
	const outdated: JobId[] = [];
	for (const [jobId, job] of state.jobs) {
		const isOver = job.isCancelled || isFinal(job.phase);
		const keptMs = state.settings.statusRetentionMs * retentionFactor;
		job.endedSince = isOver ? (job.endedSince ?? state.now) : undefined;
		if (isOver && !job.live && state.now - job.endedSince! > keptMs && outdated.length < mostRemovedAtOnce) {
			outdated.push(jobId);
		}
	}

	if (outdated.length > 0) {
		noteDecision(state, 'job-removal-asked', {jobs: outdated.length});
		addEffect(state, {type: 'intake/remove', jobIds: outdated});
	}
}

/** A job is gone from the intake: what the ledger has of it goes next, by this leader or, if it does not come to that, by the next one. */
export function dropJob(state: SchedulerState, jobId: JobId): void {
	const isKnown = state.jobs.delete(jobId);
	const hasProgress = state.earlyProgress.delete(jobId);
	if (isKnown || hasProgress || state.leadership.role === 'leader') {
		state.removedJobs.add(jobId);
	}
}

/** After the ledger was read as a whole: of these it has nothing. */
export function dropFinishedRemovals({removedJobs, earlyProgress}: SchedulerState): void {
	for (const jobId of removedJobs) {
		if (!earlyProgress.has(jobId)) {
			removedJobs.delete(jobId);
		}
	}
}

/** The ledger has nothing of a job any more, so that the job is gone from the intake, even if that was not read here yet. */
export function dropProgress(state: SchedulerState, jobId: JobId): void {
	state.jobs.delete(jobId);
	state.earlyProgress.delete(jobId);
	state.removedJobs.delete(jobId);
}
