/** Records that the planner proposes: at most one about each host on the way at a time. */
import {queueRecord} from '../log/appends.js';
import type {PoolDomainBodies} from '../pools/bodies.js';
import type {Effect} from '../types/effects.js';
import type {HostId, RecordId} from '../types/ids.js';
import type {LoggedRecord} from '../types/records.js';
import type {State} from '../types/state.js';
import type {WaveDomainBodies} from '../waves/bodies.js';
import type {PlannerLeaseBody} from './bodies.js';

type HostBodies = PoolDomainBodies & Omit<WaveDomainBodies, 'wave' | 'wave-cancel'>;

/** Proposes a record about a host, unless one is on its way. */
export function publishHostRecord<Name extends keyof HostBodies>(state: State, schema: Name, body: HostBodies[Name] & {readonly hostId: HostId}): Effect[] {
	if (state.planner.proposals.has(body.hostId)) {
		return [];
	}

	const recordId = createRecordId(state, schema);
	state.planner.proposals.set(body.hostId, recordId);
	return queueRecord(state, {
		recordId, schema, version: 1, body,
	});
}

/** Proposes to take or renew the lease, unless such a record is on its way. */
export function publishLease(state: State, body: PlannerLeaseBody): Effect[] {
	if (state.planner.leaseProposal !== undefined) {
		return [];
	}

	const recordId = createRecordId(state, 'planner-lease');
	state.planner.leaseProposal = recordId;
	return queueRecord(state, {
		recordId, schema: 'planner-lease', version: 1, body,
	});
}

/** Forgets a proposal that was read back. */
export function noteProposal(state: State, logged: LoggedRecord): void {
	const {planner} = state;
	const {recordId} = logged.record;
	if (planner.leaseProposal === recordId) {
		planner.leaseProposal = undefined;
	}

	for (const [hostId, proposal] of planner.proposals) {
		if (proposal === recordId) {
			planner.proposals.delete(hostId);
		}
	}
}

/** Forgets proposals that the log part gave up; if they are in the log after all, the fold judges them there. */
export function closeProposals(state: State): void {
	const {planner, log} = state;
	for (const [hostId, proposal] of planner.proposals) {
		if (!log.pending.has(proposal)) {
			planner.proposals.delete(hostId);
		}
	}

	if (planner.leaseProposal !== undefined && !log.pending.has(planner.leaseProposal)) {
		planner.leaseProposal = undefined;
	}
}

function createRecordId(state: State, schema: string): RecordId {
	state.planner.proposalCount += 1;
	return `${schema}.${state.settings.incarnation}.${state.planner.proposalCount}` as RecordId;
}
