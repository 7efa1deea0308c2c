/** Records that this host proposes about subjects such as hosts, jobs or leases, with at most one pending append for each subject. */
import type {RecordId} from '../types/ids.js';
import type {LogRecord} from '../types/records.js';
import type {Effect} from '../types/effects.js';
import type {State} from '../types/state.js';
import {queueRecord} from './appends.js';

/** The record id of the latest proposal about each subject. It is no longer pending once it is read back or dropped at its `giveUpAt`. */
export type Proposals<Subject extends string> = Map<Subject, RecordId>;

/** Whether a proposal about a subject is pending. */
export function hasProposal<Subject extends string>(state: State, proposals: Proposals<Subject>, subject: Subject): boolean {
	const recordId = proposals.get(subject);
	return recordId !== undefined && state.log.pending.has(recordId);
}

/** Queues a record about a subject for the log, unless one is pending. */
export function submitProposal<Subject extends string>(state: State, proposals: Proposals<Subject>, subject: Subject, {schema, body}: Pick<LogRecord, 'schema' | 'body'>): Effect[] {
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

/** Removes proposals that are no longer pending. If the log contains one of them all the same, the state machine decides there whether it is valid. */
export function expireProposals<Subject extends string>({log}: State, proposals: Proposals<Subject>): void {
	for (const [subject, recordId] of proposals) {
		if (!log.pending.has(recordId)) {
			proposals.delete(subject);
		}
	}
}
