/** Answers on which entry hosts an offset of the log is in force, as their heartbeats tell. */
import {
	createFault, isPeerLive, offsetSchema, type HostId, type Offset, type State,
} from '@rhubarblever/core';
import {readClock} from '../clock.js';
import {sendFault, sendJson} from './call-table.js';
import type {Call} from './call.js';

/** `unreachable`: no heartbeat in time, so it can't be told. */
export type InForceState = 'in-force' | 'behind' | 'unreachable';
export type InForceHost = {readonly hostId: HostId; readonly state: InForceState};
export type InForceView = {readonly offset: Offset; readonly hosts: readonly InForceHost[]};

/** The state of the record at `offset` on each known entry host, this one first. */
export function describeInForce(state: State, offset: Offset): InForceView {
	const judge = (nextOffset: Offset) => nextOffset > offset ? 'in-force' : 'behind';
	const peers = state.membership.linkedHosts.map<InForceHost>(({hostId}) => {
		const peer = state.membership.peers.get(hostId);
		return {hostId, state: peer && isPeerLive(state, peer) ? judge(peer.nextOffset) : 'unreachable'};
	});
	return {offset, hosts: [{hostId: state.settings.self.hostId, state: judge(state.fleet.nextOffset)}, ...peers]};
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
