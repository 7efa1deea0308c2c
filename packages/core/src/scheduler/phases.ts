/** What callers are told of a job. */
import type {Job} from './state.js';
import type {JobPhase} from './types.js';

/** True while tasks of the job may still start. */
export function isJobOpen(job: Job): boolean {
	return !job.isCancelled && job.live !== undefined && !isFinal(job.live.phase);
}

/** True if a phase does not change any more. */
export function isFinal(phase: JobPhase): boolean {
	return phase === 'completed' || phase === 'failed' || phase === 'cancelled';
}

/** The phase that a caller sees: as stored, and a cancel counts unless the job had ended before. */
export function getShownPhase(job: Job): JobPhase {
	return job.isCancelled && !isFinal(job.phase) ? 'cancelled' : job.phase;
}
