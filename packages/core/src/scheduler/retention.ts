/** Ended jobs are kept for as long as callers may ask for them, then removed from the store. */
import {addEffect, noteDecision} from './logging.js';
import {isFinal} from './phases.js';
import type {SchedulerState} from './state.js';

const retentionLookMs = 5000;
/** Kept longer than callers were told, for repeats that arrive late. */
const retentionFactor = 2;

/** Removes jobs that have been over for long. */
export function removeOldJobs(state: SchedulerState): void {
	if (state.now < state.retentionDueAt) {
		return;
	}

	state.retentionDueAt = state.now + retentionLookMs;
	const removed: string[] = [];
	for (const [jobId, job] of state.jobs) {
		const isOver = job.isCancelled || isFinal(job.phase);
		const keptMs = state.settings.statusRetentionMs * retentionFactor;
		job.overSince = isOver ? (job.overSince ?? state.now) : undefined;
		if (isOver && !job.live && state.now - job.overSince! > keptMs) {
			removed.push(jobId);
			state.jobs.delete(jobId);
			state.removedJobs.add(jobId);
		}
	}

	if (removed.length > 0) {
		noteDecision(state, 'jobs-forgotten', {jobs: removed.length});
		addEffect(state, {type: 'intake/remove', jobIds: removed});
	}
}
