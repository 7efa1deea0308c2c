/** What the planner proposes: records about hosts and about its lease. */
import {publishProposal} from '../log/proposals.js';
import type {PoolDomainBodies} from '../pools/bodies.js';
import type {Effect} from '../types/effects.js';
import type {HostId} from '../types/ids.js';
import type {State} from '../types/state.js';
import type {WaveDomainBodies} from '../waves/bodies.js';
import type {PlannerLeaseBody} from './bodies.js';

type HostBodies = PoolDomainBodies & Omit<WaveDomainBodies, 'wave' | 'wave-cancel'>;

/** Proposes a record about a host, unless one is on its way. */
export function publishHostRecord<Name extends keyof HostBodies>(state: State, schema: Name, body: HostBodies[Name] & {readonly hostId: HostId}): Effect[] {
	return publishProposal(state, state.planner.proposals, body.hostId, {schema, body});
}

/** Proposes to take or renew the lease, unless such a record is on its way. */
export function publishLease(state: State, body: PlannerLeaseBody): Effect[] {
	return publishProposal(state, state.planner.leaseProposals, 'planner-lease', {schema: 'planner-lease', body});
}
