/** Measures the memory that a voting member uses for each claimed request id. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	claimIdSchema, hostIdSchema, instantSchema, loggedRecordSchema, offsetSchema, reduce, requestIdSchema, type State,
} from '@rhubarblever/core';
import {measureHeap} from './measure.js';
import {createMeasuredHost} from './measured-fleet.js';

const at = instantSchema.parse(2_000_000);
const peer = hostIdSchema.parse('entry-zone-2-1');
const deadlineMs = 10_000;
const incarnation = randomUUID();

/** Heap bytes used by a member after voting for this number of claims of a peer. */
export function measureClaimMemory(count: number): number {
	const state = createMember();
	const {bytes} = measureHeap(() => {
		for (let index = 0; index < count; index++) {
			acceptClaim(state, index);
		}

		return state.claims;
	});
	if (state.claims.remembered.size !== count) {
		throw new Error(`the member remembers ${state.claims.remembered.size} of ${count} claims`);
	}

	return bytes;
}

function createMember(): State {
	const state = createMeasuredHost();
	const {self, incarnation: hostIncarnation} = state.settings;
	const joined = loggedRecordSchema.parse({
		offset: 0, at, record: {
			recordId: 'joined-1', schema: 'entry-host-joined', version: 1, body: {hostId: self.hostId, incarnation: hostIncarnation, availabilityZone: self.availabilityZone},
		},
	});
	reduce(state, {
		type: 'log/read', at, records: [joined], firstOffset: offsetSchema.parse(0), nextOffset: offsetSchema.parse(1),
	});
	state.claims.isVoting = true;
	return state;
}

function acceptClaim(state: State, index: number): void {
	reduce(state, {
		type: 'peer/message',
		at,
		peer,
		message: {
			type: 'claim-ask',
			requestId: requestIdSchema.parse(randomUUID()),
			claimId: claimIdSchema.parse(Buffer.from(`${incarnation}-${index}`).toString()),
			deadline: instantSchema.parse(at + deadlineMs),
		},
	});
}
