/** Proposes records of the planner: about hosts and about the planner lease. */
import {submitProposal} from '../log/proposals.js';
import type {PoolDomainBodies} from '../pools/bodies.js';
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {WaveDomainBodies} from '../waves/bodies.js';
import type {PlannerLeaseBody} from './bodies.js';

type HostBodies = PoolDomainBodies & Omit<WaveDomainBodies, 'wave' | 'wave-cancel'>;

/** Proposes a record about a host, unless one is pending. */
export function submitHostRecord<Name extends keyof HostBodies>(state: State, schema: Name, body: HostBodies[Name] & {readonly hostId: HostId}): Effect[] {
	return submitProposal(state, state.planner.proposals, body.hostId, {schema, body});
}

/** Proposes to take, renew or release the lease, unless such a record is pending. */
export function submitLease(state: State, body: PlannerLeaseBody): Effect[] {
	return submitProposal(state, state.planner.leaseProposals, 'planner-lease', {schema: 'planner-lease', body});
}
