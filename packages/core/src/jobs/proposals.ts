/** What the job runner proposes: records about jobs, workers, and leases in batches. */
import {hasProposal, publishProposal} from '../log/proposals.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import type {JobDomainBodies} from './bodies.js';

/** Whether a record about this subject (a job, a worker, or `leases`) is on its way. */
export function hasJobProposal(state: State, subject: string): boolean {
	return hasProposal(state, state.jobRunner.proposals, subject);
}

/** Proposes a record about a subject, unless one is on its way. */
export function publishJobRecord<Name extends keyof JobDomainBodies>(state: State, subject: string, schema: Name, body: JobDomainBodies[Name]): Effect[] {
	return publishProposal(state, state.jobRunner.proposals, subject, {schema, body});
}
