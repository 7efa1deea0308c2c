/** Jobs as operators see them. */
import type {
	HostId, InForce, Job, JobBody, JobId, JobStep, State,
} from '@rhubarblever/core';

/** A job in force and how far it has come. */
export type JobView = InForce<JobBody> & {
	readonly jobId: JobId;
	readonly step: JobStep;
	readonly attempts: number;
	readonly runs: number;
	readonly worker: HostId | undefined;
	readonly parkedReason: string | undefined;
};

/** A JSON view of all jobs that the fold remembers. */
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
