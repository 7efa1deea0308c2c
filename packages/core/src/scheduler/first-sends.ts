/**
 * When callers first sent the jobs that hosts refused at first. A job's latency objective counts from then: otherwise, after
 * an outage of the store, jobs that have already missed their objective compete as equals with those that can still meet it.
 */
import type {JobId} from '../types/ids.js';
import type {Instant} from '../types/time.js';
import type {RefusedJob, SteadyMs} from './types.js';
import type {SchedulerState} from './state.js';

/** How long a first send is known; an instant further back is clamped to this. Callers give up earlier. */
export const firstSendKeptMs = 30_000;
/** First sends that one host remembers of the jobs it refused, and the most that one record holds. */
export const maxRefusedJobs = 2000;
/** First sends that a host knows from the records of all hosts. */
const maxKnownSends = 10_000;
/** A record of refusals is removed from the intake this long after it was read; every host has read it by then. */
const recordKeptMs = 40_000;

/** Entries are in the order in which they are forgotten. */
export type FirstSends = Map<JobId, {sentAt: SteadyMs; readonly forgetAt: SteadyMs}>;

/** Notes that a job was sent at `sentAt` at the latest. At most `maxSize` jobs are known; the ones noted first are dropped. */
export function noteFirstSend(sends: FirstSends, jobId: JobId, {sentAt, now, maxSize}: {readonly sentAt: SteadyMs; readonly now: SteadyMs; readonly maxSize: number}): void {
	const known = sends.get(jobId);
	if (known && known.forgetAt > now) {
		known.sentAt = Math.min(known.sentAt, sentAt);
		return;
	}

	sends.delete(jobId);
	sends.set(jobId, {sentAt, forgetAt: now + firstSendKeptMs});
	for (const [id, {forgetAt}] of sends) {
		if (forgetAt > now && sends.size <= maxSize) {
			return;
		}

		sends.delete(id);
	}
}

/** When a job was first sent, if it was refused before. */
export function findFirstSend(sends: FirstSends, jobId: JobId, now: SteadyMs): SteadyMs | undefined {
	const known = sends.get(jobId);
	return known && known.forgetAt > now ? known.sentAt : undefined;
}

/** Converts the wall-clock instant of a first send, which another host may have written. Wall clocks may jump, so it is clamped. */
export function convertFirstSend({now, wallNow}: {readonly now: SteadyMs; readonly wallNow: Instant}, sentAt: Instant): SteadyMs {
	return now - Math.min(firstSendKeptMs, Math.max(0, wallNow - sentAt));
}

/** The earliest instant at which a job is known to have been sent, by this host's monotonic clock. */
export function computeSentAt(state: SchedulerState, jobId: JobId, storedAt: Instant | undefined): SteadyMs {
	return Math.min(state.now, findFirstSend(state.firstSends, jobId, state.now) ?? state.now, storedAt === undefined ? state.now : convertFirstSend(state, storedAt));
}

/** Applies the refusals of one host, whose process is named `holder`. */
export function applyRefusals(state: SchedulerState, holder: string, jobs: readonly RefusedJob[]): void {
	state.refusalRecords.set(holder, state.now);
	for (const {jobId, sentAt} of jobs) {
		const at = convertFirstSend(state, sentAt);
		noteFirstSend(state.firstSends, jobId, {sentAt: at, now: state.now, maxSize: maxKnownSends});
		const job = state.jobs.get(jobId);
		if (job) {
			job.sentAt = Math.min(job.sentAt, at);
		}
	}
}

/** The holders whose records of refusals are of no more use. */
export function listOldRefusalRecords({refusalRecords, now}: SchedulerState): string[] {
	return [...refusalRecords].filter(([, readAt]) => now > readAt + recordKeptMs).map(([holder]) => holder);
}
