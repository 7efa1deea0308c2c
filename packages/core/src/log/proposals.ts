/** Records that this host proposes about subjects such as hosts, jobs or leases: at most one about each on its way to the log at a time. */
import type {RecordId} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {queueRecord} from './appends.js';

/** The latest proposal about each subject. One that was read back or given up is no longer pending. */
export type Proposals<Subject extends string> = Map<Subject, RecordId>;

/** Whether a proposal about a subject is on its way. */
export function hasProposal<Subject extends string>(state: State, proposals: Proposals<Subject>, subject: Subject): boolean {
	const recordId = proposals.get(subject);
	return recordId !== undefined && state.log.pending.has(recordId);
}

/** Proposes a record about a subject, unless one is on its way. */
export function publishProposal<Subject extends string>(state: State, proposals: Proposals<Subject>, subject: Subject, {schema, body}: Pick<LogRecord, 'schema' | 'body'>): Effect[] {
	if (hasProposal(state, proposals, subject)) {
		return [];
	}

	state.log.proposalCount += 1;
	const recordId = `${schema}.${state.settings.incarnation}.${state.log.proposalCount}` as RecordId;
	proposals.set(subject, recordId);
	return queueRecord(state, {
		recordId, schema, version: 1, body,
	});
}

/** Forgets proposals that are no longer on their way; if the log has one after all, the fold judges it there. */
export function expireProposals<Subject extends string>({log}: State, proposals: Proposals<Subject>): void {
	for (const [subject, recordId] of proposals) {
		if (!log.pending.has(recordId)) {
			proposals.delete(subject);
		}
	}
}
