/** Records that the job runner proposes: at most one about each job or worker on the way at a time. */
import {queueRecord} from '../log/appends.js';
import type {Effect} from '../types/effects.js';
import type {RecordId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {JobDomainBodies} from './bodies.js';

/** Whether a record about this subject (a job, a worker, or `leases`) is on its way. */
export function hasProposal(state: State, subject: string): boolean {
	const recordId = state.jobRunner.proposals.get(subject);
	return recordId !== undefined && state.log.pending.has(recordId);
}

/** Proposes a record about a subject, unless one is on its way. */
export function publishJobRecord<Name extends keyof JobDomainBodies>(state: State, subject: string, schema: Name, body: JobDomainBodies[Name]): Effect[] {
	if (hasProposal(state, subject)) {
		return [];
	}

	state.jobRunner.proposalCount += 1;
	const recordId = `${schema}.${state.settings.incarnation}.${state.jobRunner.proposalCount}` as RecordId;
	state.jobRunner.proposals.set(subject, recordId);
	return queueRecord(state, {
		recordId, schema, version: 1, body,
	});
}
