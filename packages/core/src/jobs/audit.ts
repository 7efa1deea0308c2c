/** Runtime check of the invariant of jobs, after each accepted attempt. */
import type {RecordOutcome} from '../fleet/apply-record.js';
import type {Effect} from '../types/effects.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import {jobAttemptBodyV1} from './bodies.js';

/** Invariant: after an accepted attempt record the job is within its allowed runs, and that attempt is its current one. */
export function checkJobRuns(state: State, {record}: LoggedRecord, {verdict}: RecordOutcome): Effect[] {
	if (record.schema !== 'job-attempt' || verdict !== 'accepted') {
		return [];
	}

	const attempt = jobAttemptBodyV1.safeParse(record.body);
	const job = attempt.success ? state.fleet.jobs.jobs.get(attempt.data.jobId) : undefined;
	const holds = job !== undefined && job.runs <= job.body.allowedRuns && job.current?.attempt === attempt.data?.attempt;
	return holds ? [] : [{type: 'invariant/violated', name: 'job-runs', detail: record.recordId}];
}
