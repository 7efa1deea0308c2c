/** Reports which entry hosts have applied a log offset, according to their heartbeats. */
import {
	createFault, isPeerLive, offsetSchema, type HostId, type Offset, type State,
} from '@rhubarblever/core';
import {readClock} from '../clock.js';
import {sendFault, sendJson} from './call-table.js';
import type {Call} from './call.js';

/** `unreachable`: no recent heartbeat, so it is unknown what the host has applied. */
export type InForceState = 'in-force' | 'behind' | 'unreachable';
export type InForceHost = {readonly hostId: HostId; readonly state: InForceState};
export type InForceView = {readonly offset: Offset; readonly hosts: readonly InForceHost[]};

/** Describes the state of the record at `offset` on each known entry host, this one first. */
export function describeInForce(state: State, offset: Offset): InForceView {
	const getState = (nextOffset: Offset) => nextOffset > offset ? 'in-force' : 'behind';
	const peers = state.membership.linkedHosts.map<InForceHost>(({hostId}) => {
		const peer = state.membership.peers.get(hostId);
		return {hostId, state: peer && isPeerLive(state, peer) ? getState(peer.nextOffset) : 'unreachable'};
	});
	return {offset, hosts: [{hostId: state.settings.self.hostId, state: getState(state.fleet.nextOffset)}, ...peers]};
}

/** GET /v1/in-force?offset=N */
export function answerInForce({context, request, response}: Call): void {
	const text = new URLSearchParams((request.url ?? '').split('?', 2)[1]).get('offset');
	const offset = offsetSchema.safeParse(text === null || text === '' ? undefined : Number(text));
	if (!offset.success) {
		sendFault(response, createFault('bad-request', 'offset must be a whole number'), readClock());
		return;
	}

	sendJson(response, 200, describeInForce(context.state, offset.data));
}
