/** Measures the volume of snapshots that a host with the state of a whole fleet writes while only the planner lease is renewed. */
import {
	instantSchema, loggedRecordSchema, offsetSchema, reduce, type Instant, type LoggedRecord, type State,
} from '@rhubarblever/core';

const renewalMs = 2000;
const leaseMs = 6000;
const stepMs = 250;
const measuredMs = 1_800_000;

/** The snapshots of one host, assuming that it writes all snapshots of the fleet. */
export type SnapshotVolume = {readonly count: number; readonly bytesPerSecond: number};

/** Continues from a populated state for half an hour of log time. */
export function measureSnapshotVolume(state: State, startAt: number): SnapshotVolume {
	let count = 0;
	let bytes = 0;
	reduce(state, {
		type: 'snapshot/read', at: parseInstant(startAt), records: [], firstOffset: offsetSchema.parse(0), nextOffset: offsetSchema.parse(0),
	});
	for (let at = startAt; at < startAt + measuredMs; at += stepMs) {
		const effects = reduce(state, {type: 'clock/ticked', at: parseInstant(at)});
		if ((at - startAt) % renewalMs === 0) {
			effects.push(...readRenewal(state, at));
		}

		for (const effect of effects) {
			if (effect.type === 'snapshot/write') {
				count += 1;
				bytes += JSON.stringify(effect.records).length;
				reduce(state, {type: 'snapshot/written', at: parseInstant(at), nextOffset: effect.nextOffset});
			}
		}
	}

	return {count, bytesPerSecond: bytes / (measuredMs / 1000)};
}

function readRenewal(state: State, at: number) {
	const {nextOffset} = state.fleet;
	return reduce(state, {
		type: 'log/read', at: parseInstant(at), records: [createRenewal(nextOffset, at)], firstOffset: offsetSchema.parse(0), nextOffset: offsetSchema.parse(nextOffset + 1),
	});
}

function createRenewal(offset: number, at: number): LoggedRecord {
	return loggedRecordSchema.parse({
		offset,
		at,
		record: {
			recordId: `planner-lease.entry-9.${offset}`,
			schema: 'planner-lease',
			version: 1,
			body: {
				holder: 'entry-9', incarnation: 'entry-9-life-1', term: 1, deadline: at + leaseMs,
			},
		},
	});
}

function parseInstant(at: number): Instant {
	return instantSchema.parse(at);
}
