/** Jobs in the answer of GET /v1/fleet. */
import type {
	HostId, InForce, Job, JobBody, JobId, JobStep, State,
} from '@rhubarblever/core';

/** A job that is in force, and its progress. */
export type JobView = InForce<JobBody> & {
	readonly jobId: JobId;
	readonly step: JobStep;
	readonly attempts: number;
	readonly runs: number;
	readonly worker: HostId | undefined;
	readonly parkedReason: string | undefined;
};

/** Describes all jobs in the fleet state. */
export function describeJobs(state: State): JobView[] {
	return [...state.fleet.jobs.jobs.values()].map(job => describeJob(job));
}

function describeJob({
	offset, body, step, attempts, runs, current, parkedReason,
}: Job): JobView {
	return {
		jobId: body.jobId, offset, body, step, attempts, runs, worker: current?.worker, parkedReason,
	};
}
