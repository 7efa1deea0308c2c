/** Phases of jobs, and which phase callers see. */
import type {Job} from './state.js';
import type {JobPhase} from './types.js';

/** True while tasks of the job may still start. */
export function isJobOpen(job: Job): boolean {
	return !job.isCancelled && job.live !== undefined && !isFinal(job.live.phase);
}

/** True if the phase can no longer change. */
export function isFinal(phase: JobPhase): boolean {
	return phase === 'completed' || phase === 'failed' || phase === 'cancelled';
}

/** The phase that callers see: the stored phase, or `cancelled` if a cancel was requested before the job ended. */
export function getShownPhase(job: Job): JobPhase {
	return job.isCancelled && !isFinal(job.phase) ? 'cancelled' : job.phase;
}
