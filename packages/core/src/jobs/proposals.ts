/** Proposes records of the job runner: about jobs, about workers, and batches of lease renewals. */
import {hasProposal, submitProposal} from '../log/proposals.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import type {JobDomainBodies} from './bodies.js';

/** Whether a proposed record about this subject (a job, a worker, or `leases`) is pending. */
export function hasJobProposal(state: State, subject: string): boolean {
	return hasProposal(state, state.jobRunner.proposals, subject);
}

/** Proposes a record about a subject, unless one is pending. */
export function submitJobRecord<Name extends keyof JobDomainBodies>(state: State, subject: string, schema: Name, body: JobDomainBodies[Name]): Effect[] {
	return submitProposal(state, state.jobRunner.proposals, subject, {schema, body});
}
